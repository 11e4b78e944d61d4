package replicator

import (
	"time"

	"bramleyline.example/bramleyline/journaler"
)

// Message is a message from one member of the control group to another. Exactly one of the pointers is set.
type Message struct {
	From string
	To   string
	// Term is the sender's term. In a pre-vote request, and in an answer that grants it, it is the term that the
	// candidate would start.
	Term uint64
	// Empty reports that the sender's log has no entry.
	Empty bool

	Vote         *VoteMsg
	VoteAnswer   *VoteAnswerMsg
	Append       *AppendMsg
	AppendAnswer *AppendAnswerMsg
	Snapshot     *SnapshotMsg
}

// VoteMsg requests a vote, or with Pre asks whether a vote would be granted.
type VoteMsg struct {
	Pre       bool
	LastIndex uint64
	LastTerm  uint64
	// Process identifies the process of a sender that probes the initial voters; a candidate leaves it zero. The answer
	// returns it.
	Process uint64
}

// VoteAnswerMsg answers a VoteMsg.
type VoteAnswerMsg struct {
	Pre     bool
	Granted bool
	Process uint64
}

// Round identifies one message of a leader. The answer returns it, which tells the leader when it sent the message that
// was answered.
type Round struct {
	Number uint64
	// SentAt is the sending time, counted from the start of the leader's process.
	SentAt time.Duration
}

// AppendMsg is Raft's AppendEntries request: it carries the entries after PrevIndex, and without entries is a
// heartbeat.
type AppendMsg struct {
	Round     Round
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []journaler.Entry
	Commit    uint64
	// Committed is the leader's commit index. Commit may be lower, because a heartbeat limits it to entries that the
	// member is known to have. Committed is unknownCommit while the leader has not committed an entry of its term.
	Committed uint64
	// MajorityAge is the time since the leader last had contact with a majority, noMajorityAge if it had none in its
	// term.
	MajorityAge time.Duration
	// Echo is the stamp of the member's last answer that the leader received.
	Echo Stamp
	// RecoverTo is the index that the log of a recovering member has to reach before the member takes part again, zero
	// while it may not. It applies to the member whose AppendAnswerMsg had the same Recovery.
	RecoverTo uint64
	Recovery  uint64
}

// Stamp is a time on the clock of one process of a member. A message may be delivered long after it was sent, so a
// member dates the leader's information by the stamp that the leader returns with it, not by the time of receipt.
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
	// Rejected reports that the entry before the new ones is missing or differs, or that the leader has an older term.
	// Hint is an index that may match.
	Rejected bool
	Hint     uint64
	// Recovery is nonzero while the member recovers from the loss of its disk, with a different value for each process.
	Recovery uint64
	// SnapshotIndex is the index of the snapshot that is being received, and Received how many bytes of it have
	// arrived.
	SnapshotIndex uint64
	Received      uint64
}

// SnapshotMsg carries one part of a snapshot.
type SnapshotMsg struct {
	Round   Round
	Index   uint64
	Term    uint64
	Members []journaler.Member
	// Offset is the position of Data in the snapshot, in bytes. Done marks the last part.
	Offset uint64
	Data   []byte
	Done   bool
}
