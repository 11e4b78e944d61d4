package applier

import "maps"

// resultPageSize is the number of results in a page, and keptResultPages the number of pages that are kept. A command
// that is proposed again after 4,096 newer commands with a request ID may be applied a second time, as a new command.
const (
	resultPageSize  = 64
	keptResultPages = 64
)

// resultPage is a page of the results of recent commands by request ID, in an immutable linked list with the newest
// page first. Adding a result copies at most one page. A nil resultPage is the empty list.
type resultPage struct {
	results map[string]Result
	older   *resultPage
	// pages is the number of pages in the list from this page on.
	pages int
}

// find returns the result of the command with a request ID, if it is still remembered.
func (p *resultPage) find(requestID string) (Result, bool) {
	for ; p != nil; p = p.older {
		if r, ok := p.results[requestID]; ok {
			return r, true
		}
	}
	return Result{}, false
}

// add returns the list with one more result; p itself is not changed.
func (p *resultPage) add(requestID string, r Result) *resultPage {
	if p == nil || len(p.results) >= resultPageSize {
		return dropOldPages(&resultPage{
			results: map[string]Result{requestID: r},
			older:   p,
			pages:   p.pageCount() + 1,
		})
	}
	next := *p
	next.results = maps.Clone(p.results)
	next.results[requestID] = r
	return &next
}

func (p *resultPage) pageCount() int {
	if p == nil {
		return 0
	}
	return p.pages
}

// dropOldPages returns the newest keptResultPages pages once there are twice as many, and p until then. It copies the
// list of pages, but not their results.
func dropOldPages(p *resultPage) *resultPage {
	if p.pages < 2*keptResultPages {
		return p
	}
	return p.newest(keptResultPages)
}

// newest returns a copy of the list with only its n newest pages.
func (p *resultPage) newest(n int) *resultPage {
	if p == nil || n == 0 {
		return nil
	}
	return &resultPage{
		results: p.results,
		older:   p.older.newest(n - 1),
		pages:   n,
	}
}

// ResultOf returns the result of the command that was applied with a request ID, if it is still remembered.
func (s *State) ResultOf(requestID string) (Result, bool) {
	if s == nil {
		return Result{}, false
	}
	return s.results.find(requestID)
}
