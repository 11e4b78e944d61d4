package director

import "bramleyline.example/bramleyline/reserver"

const (
	// bodyShare and answerShare are the shares of the memory limit of the process that the bodies of callers, and the long answers of
	// targets and other hosts, may take. Small answers may take as much as long ones. The rest is for all else and for garbage.
	bodyShare   = 0.5
	answerShare = 0.15
	// defaultBodyMemory and defaultAnswerMemory, in bytes, apply where the settings state no limit.
	defaultBodyMemory   = 256 << 20
	defaultAnswerMemory = 64 << 20
)

// entryMemory bounds the bytes of others that an entry host holds.
type entryMemory struct {
	bodies  reserver.Reserver
	answers reserver.Reserver
}

// newEntryMemory returns the bounds for a process with a memory limit in bytes, zero if it has none.
func newEntryMemory(limit int64) *entryMemory {
	m := entryMemory{
		bodies: reserver.Reserver{
			Limit: defaultBodyMemory,
		},
		answers: reserver.Reserver{
			Limit: defaultAnswerMemory,
		},
	}
	if limit > 0 {
		m.bodies.Limit = int64(bodyShare * float64(limit))
		m.answers.Limit = int64(answerShare * float64(limit))
	}
	return &m
}
