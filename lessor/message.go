package lessor

import (
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/registrar"
)

// CallMsg asks for a call at a target: a grant, or a release if Grant is nil.
type CallMsg struct {
	Incarnation registrar.Incarnation
	Addr        netip.AddrPort
	Service     string
	Span        registrar.Span
	Fence       uint64
	Grant       *GrantCall
	// SameConnection says that the call may go only over a connection that is open already: a new one may lead to
	// another incarnation of the target, which must not get a fence that the incarnation before it had.
	SameConnection bool
}

// IsRelease reports whether the call releases keys.
func (c CallMsg) IsRelease() bool { return c.Grant == nil }

// GrantCall grants or renews a span of keys.
type GrantCall struct {
	Hold     time.Duration
	Handover string
}

// AnsweredMsg is the result of a call.
type AnsweredMsg struct {
	Call CallMsg
	// Answered says that the target answered; else the call may have taken effect or may still do so.
	Answered bool
	// NotSent says that no connection was made, so the call has not taken effect and will not.
	NotSent bool
	// Disconnected says that there was no open connection for a call with SameConnection. It was not sent.
	Disconnected bool
	// Fenced says that the target has seen a higher fence.
	Fenced bool
	// OK says that the target did what was asked.
	OK bool
	// Handover is what the target gave at a release.
	Handover string
	// Err says why the call did not do what was asked, for the log.
	Err error
}
