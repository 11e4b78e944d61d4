package replicator

import (
	"time"

	"bramleyline.example/bramleyline/journaler"
)

// Message goes from one member of the control group to another. Exactly one of the pointers is set.
type Message struct {
	From string
	To   string
	// Term is the sender's term; in a pre-vote it is the term that the sender would start.
	Term uint64
	// Empty says that the sender's log has no entry.
	Empty bool

	Vote         *VoteMsg
	VoteAnswer   *VoteAnswerMsg
	Append       *AppendMsg
	AppendAnswer *AppendAnswerMsg
	Snapshot     *SnapshotMsg
}

// VoteMsg asks for a vote, or with Pre whether a vote would be granted.
type VoteMsg struct {
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// Process identifies the sender's process. The answer returns it.
	Process uint64
}

// VoteAnswerMsg answers a VoteMsg.
type VoteAnswerMsg struct {
	Pre     bool
	Granted bool
	Process uint64
}

// Round identifies one message of a leader. The answer returns it, so that the leader knows when it sent what was
// answered.
type Round struct {
	Number uint64
	// SentAt is the leader's time since its process started.
	SentAt time.Duration
}

// AppendMsg brings entries after PrevIndex; without entries it is a heartbeat.
type AppendMsg struct {
	Round     Round
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []journaler.Entry
	Commit    uint64
	// Committed is the index up to which the leader has committed, which Commit does not tell where the member lacks
	// entries. It is unknownCommit while the leader has not committed an entry of its term.
	Committed uint64
	// MajorityAge is the time since the leader last had contact with a majority.
	MajorityAge time.Duration
	// Echo is the stamp of the member's last answer that the leader had got.
	Echo Stamp
	// RecoverTo is the index from which the member whose AppendAnswerMsg had Recovery takes part again, zero if it does
	// not yet.
	RecoverTo uint64
	Recovery  uint64
}

// Stamp is a moment on the clock of one process of a member. A message may be delivered long after it was sent, so a member
// dates what the leader says by the stamp that comes back with it.
type Stamp struct {
	Process uint64
	// At is the time since the process started.
	At time.Duration
}

// AppendAnswerMsg answers an AppendMsg or a SnapshotMsg.
type AppendAnswerMsg struct {
	Round Round
	Stamp Stamp
	// Match is the index up to which the log is known to equal the leader's and is durable.
	Match uint64
	// Rejected says that the entry before the new ones is missing or differs. Hint is an index that may match.
	Rejected bool
	Hint     uint64
	// Recovery is not zero while the member recovers from the loss of its disk; it is another one for each process.
	Recovery uint64
	// SnapshotIndex and Received say how much of a snapshot has arrived.
	SnapshotIndex uint64
	Received      uint64
}

// SnapshotMsg brings one part of a snapshot.
type SnapshotMsg struct {
	Round   Round
	Index   uint64
	Term    uint64
	Members []journaler.Member
	Offset  uint64
	Data    []byte
	Done    bool
}
