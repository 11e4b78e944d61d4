package tracker

import (
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// stateDraining is the state of a target that asks for no new work.
const stateDraining = "draining"

// heartbeat answers a target.
func (t *Tracker) heartbeat(m HeartbeatMsg) HeartbeatReply {
	key := heardKey{
		targetKey: targetKey{
			service: m.Service,
			name:    m.Name,
		},
		incarnation: m.Incarnation,
	}
	t.recordHeartbeat(key, m)
	reply := HeartbeatReply{
		Version: t.version,
		// Without a dispatch lease this host can grant nothing. The target then asks the other hosts, one of which is
		// its dispatching host soon; a target that stayed here would be taken for lost.
		NoAuthority: t.index == 0 || !t.dispatch.Valid(t.now),
		// The fence rises with the authority, so that a target rejects what an older one still grants.
		Fence: fencer.NewEpoch(uint32(t.index), 0),
	}
	tg, ok := t.targets[key.targetKey]
	if !ok || tg.Incarnation != m.Incarnation {
		return reply
	}
	if !tg.local {
		if host, known := t.hostRecord(tg.Host); known {
			reply.Elsewhere = tg.Host
			reply.Announce = host.Announce
		}
		return reply
	}
	t.confirmReleases(key.targetKey, m)
	reply.Lease = t.dispatch.Remaining(t.now)
	if reply.Lease == 0 {
		return reply
	}
	tg.lapsed = false
	tg.granter.Granted(t.now, reply.Lease)
	tg.lease.Renewed(t.now, reply.Lease)
	t.grantSlots(key.targetKey, &reply)
	return reply
}

// recordHeartbeat records a heartbeat. A repeated one is the same heartbeat, answered anew: it is no further sign of life.
func (t *Tracker) recordHeartbeat(key heardKey, m HeartbeatMsg) {
	old, ok := t.heard[key]
	if ok && m.Repeated {
		return
	}
	t.urgent = t.urgent || !ok || old.msg.State != m.State
	t.heard[key] = &heard{
		msg: m,
		at:  t.now,
	}
}

// confirmReleases takes the slots that the target gave up. An acknowledged version from before the release belongs to
// an earlier hand-over of the same slot.
func (t *Tracker) confirmReleases(key targetKey, m HeartbeatMsg) {
	slots := t.slots[key.service]
	for _, s := range m.Released {
		if int(s) >= len(slots) {
			continue
		}
		if e := &slots[s]; e.target == key.name && e.releasing && m.AckVersion >= e.version {
			t.dirty = t.dirty || !e.givenUp
			t.urgent = t.urgent || !e.givenUp
			e.givenUp = true
		}
	}
}

// grantSlots adds the slots that the target owns, as rows of the same epoch.
func (t *Tracker) grantSlots(key targetKey, reply *HeartbeatReply) {
	slots := t.slots[key.service]
	for i, e := range slots {
		if e.target != key.name {
			continue
		}
		switch n := keyer.Slot(i); {
		case e.givenUp:
			// The slot may have another owner by now. To list it as releasing would let a target that returns after its
			// lease lapsed take it for one that it still holds.
		case e.releasing:
			reply.Releasing = append(reply.Releasing, n)
		default:
			asserter.Check(e.epoch != 0, asserter.SingleOwner, "slot %d of %s granted to %s without an epoch", n, key.service, key.name)
			if last := len(reply.Owned) - 1; last >= 0 && reply.Owned[last].To+1 == n && reply.Owned[last].Epoch == e.epoch {
				reply.Owned[last].To = n
			} else {
				reply.Owned = append(reply.Owned, Range{
					From:  n,
					To:    n,
					Epoch: e.epoch,
				})
			}
		}
	}
}
