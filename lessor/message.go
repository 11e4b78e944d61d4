package lessor

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/ramper"
	"bramleyline.example/bramleyline/registrar"
)

// CallMsg asks for a call to a target: a grant or renewal, or a release if Grant is nil.
type CallMsg struct {
	Incarnation registrar.Incarnation
	Addr        netip.AddrPort
	Service     string
	Span        registrar.Span
	Fence       uint64
	Grant       *GrantCall
	// Connection is the number of the connection over which the fence was first sent, zero if it was not sent yet. The call may
	// be made over that connection only: any other one may reach another incarnation of the target, which must not get a fence
	// that was sent to the previous one.
	Connection uint64
}

// IsRelease reports whether the call releases keys.
func (c CallMsg) IsRelease() bool { return c.Grant == nil }

// GrantCall grants or renews a span of keys.
type GrantCall struct {
	Hold     time.Duration
	Handover string
}

// CallResultMsg is the result of a call. If neither Answered nor NotSent is set, the outcome of the call is unknown.
type CallResultMsg struct {
	Call CallMsg
	// Answered says that the target answered. Without an answer, a call that was sent may have taken effect or may still
	// do so.
	Answered bool
	// NotSent says that the call was not sent, for example for lack of a connection. It has not taken effect and will
	// not.
	NotSent bool
	// Withdrawn says that the call was not made because this host did not lead at that moment. It tells nothing about the
	// target.
	Withdrawn bool
	// Disconnected says that a call with a Connection was not sent because that one is not open any more.
	Disconnected bool
	// Connection is the number of the connection over which the target answered a grant.
	Connection uint64
	// Fenced says that the target rejected the call because it has seen a higher fence.
	Fenced bool
	// OK says that the target carried out the call.
	OK bool
	// Handover is the hand-over that the target returned on a release, for the next owner of the span.
	Handover string
	// Err is why the call was not carried out, for the log.
	Err error
}

// PaceMsg tells of the begin or end of a target's ramp, or of a setback.
type PaceMsg struct {
	Target registrar.Incarnation
	// Began is the cause if the ramp began, Setback the reason if the pace was lowered. Both are empty if the ramp ended.
	Began   ramper.Cause
	Setback ramper.Setback
	Pace    float64
	// Step is the factor on the capacity of the target.
	Step float64
}
