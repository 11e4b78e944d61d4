package director

import "bramleyline.example/bramleyline/reserver"

const (
	// answerShare is the share of the memory limit of the process that the answers of targets and other hosts may take. The rest
	// is for all else and for garbage.
	answerShare = 0.15
	// defaultAnswerMemory, in bytes, applies where the settings state no limit.
	defaultAnswerMemory = 64 << 20
)

// entryMemory bounds the bytes of others that an entry host holds.
type entryMemory struct {
	answers reserver.Reserver
}

// newEntryMemory returns the bounds for a process with a memory limit in bytes, zero if it has none.
func newEntryMemory(limit int64) *entryMemory {
	m := entryMemory{
		answers: reserver.Reserver{
			Limit: defaultAnswerMemory,
		},
	}
	if limit > 0 {
		m.answers.Limit = int64(answerShare * float64(limit))
	}
	return &m
}
