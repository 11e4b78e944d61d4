package applier

import "maps"

// answerPage and answerPages bound the results that are remembered: a command that is sent again after 4,096 newer
// commands with a request ID is taken for a new one.
const (
	answerPage  = 64
	answerPages = 64
)

// answers remembers the results of recent commands in immutable pages, the newest first, so that one more result copies
// at most one page.
type answers struct {
	results map[string]Result
	older   *answers
	depth   int
}

func (a *answers) find(requestID string) (Result, bool) {
	for ; a != nil; a = a.older {
		if r, ok := a.results[requestID]; ok {
			return r, true
		}
	}
	return Result{}, false
}

func (a *answers) add(requestID string, r Result) *answers {
	if a == nil || len(a.results) >= answerPage {
		return trimmed(&answers{
			results: map[string]Result{requestID: r},
			older:   a,
			depth:   a.pages() + 1,
		})
	}
	next := *a
	next.results = maps.Clone(a.results)
	next.results[requestID] = r
	return &next
}

func (a *answers) pages() int {
	if a == nil {
		return 0
	}
	return a.depth
}

// trimmed drops the older half of the pages when there are twice as many as are kept, by copying the list of pages.
func trimmed(a *answers) *answers {
	if a.depth < 2*answerPages {
		return a
	}
	return a.first(answerPages)
}

func (a *answers) first(n int) *answers {
	if a == nil || n == 0 {
		return nil
	}
	return &answers{
		results: a.results,
		older:   a.older.first(n - 1),
		depth:   n,
	}
}

// Answer returns the result of the command that was applied under a request ID, while it is remembered.
func (s *State) Answer(requestID string) (Result, bool) {
	if s == nil {
		return Result{}, false
	}
	return s.answered.find(requestID)
}
