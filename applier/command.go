package applier

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/registrar"
)

// Command is one change of the State. Exactly one of the pointers is set.
type Command struct {
	// RequestID makes the command idempotent: a command whose RequestID was applied before returns the first Result.
	// Empty means that the command is idempotent by itself.
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

// Result is what a Command did.
type Result struct {
	// Index is the log index at which the command was applied first.
	Index uint64
	// Refusal says why the command changed nothing; empty if it took effect.
	Refusal string
	// Winner is the configuration that was accepted under the expected number, for a PutConfigMsg that lost a race.
	Winner *StoredConfig
}

// PutConfigMsg stores a configuration if Expect is the version in force. The accepted one gets version Expect+1.
type PutConfigMsg struct {
	Expect   uint64
	Digest   string
	Operator string
	At       time.Time
	// Base is the text of the base file; Overlays maps the name of a site to the text of its overlay.
	Base     string
	Overlays map[string]string
}

// SetServiceMsg takes a data centre or a target out of service, or restores it.
type SetServiceMsg struct {
	// Exactly one of DataCentre and Target is set.
	DataCentre string
	Target     string
	Out        bool
	Operator   string
	At         time.Time
	// Others are the other data centres of the deployment. A takeout is refused if all of them are out already, because
	// two operators may take out the last two at the same time. Empty means that the takeout is forced.
	Others []string
}

// ChangeVotersMsg records the members of the control group, as the replicator committed them.
type ChangeVotersMsg struct {
	Voters   []string
	Learners []string
}

// RegisterHostMsg records a host and the incarnation of its process.
type RegisterHostMsg struct {
	Host Host
}

// NameAuthorityMsg makes a host the authority of its data centre. The log index of the command is the authority's
// epoch index, and the in-sync set becomes the named host alone.
type NameAuthorityMsg struct {
	DataCentre  string
	Host        string
	Incarnation uint64
}

// SetInSyncMsg replaces the in-sync set of a data centre. It is refused unless AuthorityIndex is the authority's.
type SetInSyncMsg struct {
	DataCentre     string
	AuthorityIndex uint64
	// InSync maps the name of a host to its incarnation.
	InSync map[string]uint64
}

// DelegateMsg gives slots of a keyed service to a data centre. Slots that change their data centre lose their owner.
type DelegateMsg struct {
	Service    string
	Slots      []keyer.Slot
	DataCentre string
}

// AssignMsg records owners that the authority of a data centre chose. It is refused unless AuthorityIndex is the
// authority's and every slot is delegated to the data centre; a slot's epoch must rise.
type AssignMsg struct {
	DataCentre     string
	AuthorityIndex uint64
	Service        string
	Owners         []OwnerChange
	// HotKeys replaces the hot keys of the service in this data centre, unless nil.
	HotKeys map[string]OwnerChange
}

// OwnerChange gives a slot to a target; an empty Target leaves the slot without an owner.
type OwnerChange struct {
	Slot   keyer.Slot
	Target string
	Epoch  fencer.Epoch
}

// Host is one process of the system.
type Host struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	Control     bool
	// Peer takes forwarded requests, RPC the system's messages, Announce targets' heartbeats.
	Peer     netip.AddrPort
	RPC      netip.AddrPort
	Announce netip.AddrPort
}
