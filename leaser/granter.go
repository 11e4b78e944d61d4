package leaser

import "time"

// Granter is the granting side of a lease. The zero value has granted none.
type Granter struct {
	// Margin is added to each lease for clock drift. Zero means DefaultMargin of the lease.
	Margin time.Duration

	until time.Time
}

// Granted records a lease of length ttl that was granted by an answer sent at answered.
func (g *Granter) Granted(answered time.Time, ttl time.Duration) {
	margin := g.Margin
	if margin == 0 {
		margin = DefaultMargin(ttl)
	}
	if until := answered.Add(ttl + margin); until.After(g.until) {
		g.until = until
	}
}

// Released records that the holder has released the lease.
func (g *Granter) Released() {
	g.until = time.Time{}
}

// Lapsed reports whether the lease and its margin have expired at now, so that the holder cannot hold it any more.
func (g *Granter) Lapsed(now time.Time) bool {
	return !now.Before(g.until)
}

// Until returns the time from which Lapsed is true.
func (g *Granter) Until() time.Time {
	return g.until
}
