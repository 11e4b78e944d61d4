package applier

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/registrar"
)

// Command is one change of the State. At most one of its messages is set; without any, it only advances State.Index.
type Command struct {
	// RequestID makes the command idempotent: if a command with this RequestID was already applied, applying it again
	// changes nothing and returns the first Result. It is empty for a command that is idempotent by itself.
	RequestID string

	PutConfig     *PutConfigMsg
	SetService    *SetServiceMsg
	ChangeVoters  *ChangeVotersMsg
	RegisterHost  *RegisterHostMsg
	NameAuthority *NameAuthorityMsg
	SetInSync     *SetInSyncMsg
	Delegate      *DelegateMsg
	Assign        *AssignMsg
	// Registry changes the registry of direct dispatch.
	Registry *registrar.Change
}

// Result is the outcome of a Command.
type Result struct {
	// Index is the log index at which the command was first applied.
	Index uint64
	// Rejection is the reason why the command was rejected and changed nothing, empty if it took effect.
	Rejection string
	// Winner is the configuration that was accepted as version Expect+1 before this one, for a PutConfigMsg that lost a
	// race. Its text is left out.
	Winner *StoredConfig
}

// PutConfigMsg puts a configuration in force as version Expect+1, if Expect is the version in force.
type PutConfigMsg struct {
	Expect   uint64
	Digest   string
	Operator string
	// At is the time of the operator's request.
	At time.Time
	// Base is the text of the base file; Overlays maps the name of a site to the text of its overlay.
	Base     string
	Overlays map[string]string
}

// SetServiceMsg takes a data centre or a target out of service, or restores it.
type SetServiceMsg struct {
	// Exactly one of DataCentre and Target is set.
	DataCentre string
	Target     string
	// Out is true to take out of service, and false to restore.
	Out      bool
	Operator string
	At       time.Time
	// Others lists the other data centres of the deployment. A takeout is rejected if all of them are out of service
	// already, because two operators may take out the last two data centres at the same time. Empty means that the
	// takeout is forced.
	Others []string
}

// ChangeVotersMsg records the members of the control group, as committed by the replicator.
type ChangeVotersMsg struct {
	Voters   []string
	Learners []string
}

// RegisterHostMsg records a host and the incarnation of its process.
type RegisterHostMsg struct {
	Host Host
}

// NameAuthorityMsg makes a host the authority of its data centre, which assigns the slots of that data centre to
// targets. The log index of the command becomes the authority's index, and the in-sync set becomes this host alone.
type NameAuthorityMsg struct {
	DataCentre  string
	Host        string
	Incarnation uint64
}

// SetInSyncMsg replaces the in-sync set of a data centre. It is rejected unless AuthorityIndex is the index of the
// present authority and the set contains that authority.
type SetInSyncMsg struct {
	DataCentre     string
	AuthorityIndex uint64
	// InSync maps the name of a host to its incarnation.
	InSync map[string]uint64
}

// DelegateMsg gives slots of a keyed service to a data centre. Slots that change their data centre lose their owner and
// their hot keys.
type DelegateMsg struct {
	Service    string
	Slots      []keyer.Slot
	DataCentre string
}

// AssignMsg records owners that the authority of a data centre chose. It is rejected unless AuthorityIndex is the index
// of the present authority, every slot is delegated to the data centre, and the epoch of every slot that changes rises.
type AssignMsg struct {
	DataCentre     string
	AuthorityIndex uint64
	Service        string
	Owners         []OwnerChange
	// HotKeys replaces the hot keys of the service in this data centre; nil leaves them as they are.
	HotKeys map[string]OwnerChange
}

// OwnerChange assigns a slot to a target. An empty Target releases the slot, which then has no owner.
type OwnerChange struct {
	Slot   keyer.Slot
	Target string
	Epoch  fencer.Epoch
}

// Host is a host of the system, in one incarnation of its process.
type Host struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	Control     bool
	// Peer is the address for forwarded requests, RPC that for the system's own messages, and Announce that for the
	// heartbeats of targets.
	Peer     netip.AddrPort
	RPC      netip.AddrPort
	Announce netip.AddrPort
}
