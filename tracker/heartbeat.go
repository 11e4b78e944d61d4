package tracker

import (
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// stateDraining is the state of a target that asks to get no new requests.
const stateDraining = "draining"

// handleHeartbeat records the heartbeat of a target and returns the reply. If this host dispatches to the target, the
// reply renews the target's lease.
func (t *Tracker) handleHeartbeat(m HeartbeatMsg) HeartbeatReply {
	key := incarnationKey{
		targetKey: targetKey{
			service: m.Service,
			name:    m.Name,
		},
		incarnation: m.Incarnation,
	}
	t.recordHeartbeat(key, m)
	reply := HeartbeatReply{
		Version: t.tableVersion,
		// Without a dispatch lease this host cannot grant leases. The target then tries the other hosts, one of which
		// soon becomes its dispatching host. If it went on with this host only, the authority would consider it lost.
		NoAuthority: t.authorityIndex == 0 || !t.dispatchLease.Valid(t.now),
		// The fencing token increases with each change of authority, so that a target rejects grants of an earlier one.
		Fence: fencer.NewEpoch(uint32(t.authorityIndex), 0),
	}
	tg, ok := t.targets[key.targetKey]
	if !ok || tg.Incarnation != m.Incarnation {
		return reply
	}
	if !tg.local {
		if host, known := t.hostRecord(tg.Host); known {
			reply.RedirectHost = tg.Host
			reply.Announce = host.Announce
		}
		return reply
	}
	t.confirmReleases(key.targetKey, m)
	reply.Lease = t.dispatchLease.Remaining(t.now)
	if reply.Lease == 0 {
		return reply
	}
	tg.leaseExpired = false
	tg.granter.Granted(t.now, reply.Lease)
	tg.lease.Renewed(t.now, reply.Lease)
	t.grantSlots(key.targetKey, &reply)
	return reply
}

// recordHeartbeat records a heartbeat. A repeated one is an earlier heartbeat that is answered again, so it does not
// count as further contact with the target.
func (t *Tracker) recordHeartbeat(key incarnationKey, m HeartbeatMsg) {
	old, ok := t.heartbeats[key]
	if ok && m.Reanswered {
		return
	}
	t.urgent = t.urgent || !ok || old.msg.State != m.State
	t.heartbeats[key] = &receivedHeartbeat{
		msg:        m,
		receivedAt: t.now,
	}
}

// confirmReleases marks the slots that the target has released. It ignores a release if the target has not acknowledged
// the table version that asked for it: that release belongs to an earlier hand-over of the same slot.
func (t *Tracker) confirmReleases(key targetKey, m HeartbeatMsg) {
	slots := t.slots[key.service]
	for _, s := range m.Released {
		if int(s) >= len(slots) {
			continue
		}
		if e := &slots[s]; e.target == key.name && e.releasing && m.AckVersion >= e.changedVersion {
			t.dirty = t.dirty || !e.released
			t.urgent = t.urgent || !e.released
			e.released = true
		}
	}
}

// grantSlots adds the slots that the target owns or has to release to reply, the owned ones as ranges of equal epoch.
func (t *Tracker) grantSlots(key targetKey, reply *HeartbeatReply) {
	slots := t.slots[key.service]
	for i, e := range slots {
		if e.target != key.name {
			continue
		}
		switch slot := keyer.Slot(i); {
		case e.released:
			// The slot may have another owner by now. If it were listed as releasing, a target that returns after its
			// lease expired would treat it as one that it still holds.
		case e.releasing:
			reply.Releasing = append(reply.Releasing, slot)
		default:
			asserter.Check(e.epoch != 0, asserter.SingleOwner, "slot %d of %s granted to %s without an epoch", slot, key.service, key.name)
			if last := len(reply.Owned) - 1; last >= 0 && reply.Owned[last].To+1 == slot && reply.Owned[last].Epoch == e.epoch {
				reply.Owned[last].To = slot
			} else {
				reply.Owned = append(reply.Owned, Range{
					From:  slot,
					To:    slot,
					Epoch: e.epoch,
				})
			}
		}
	}
}
