package soaker

import "time"

// maxLatePoison is how often all hosts in contact may send a poison request later than contactDelay after its third crash.
const maxLatePoison = 3

// poisonRecord is what targets saw of one poison request.
type poisonRecord struct {
	crashes int
	// thirdAt is when it crashed the third target.
	thirdAt time.Time
	late    int
}

// recordPoison records that a poison request arrived at a target, or crashed it.
func (c *invariantChecker) recordPoison(path string, at time.Time, crashed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.poison == nil {
		c.poison = make(map[string]*poisonRecord)
	}
	r, ok := c.poison[path]
	if !ok {
		r = &poisonRecord{}
		c.poison[path] = r
	}
	if crashed {
		r.crashes++
		if r.crashes == 3 {
			r.thirdAt = at
		}
		return
	}
	if r.crashes < 3 || at.Sub(r.thirdAt) <= contactDelay || c.inContactSince.IsZero() || at.Before(c.inContactSince) {
		return
	}
	r.late++
	if r.late == maxLatePoison+1 {
		c.addViolation("%s reached targets more than %d times later than %s after its third crash", path, maxLatePoison, contactDelay)
	}
}
