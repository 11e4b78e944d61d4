package applier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
)

// Guards against two operators who take the last two data centres out of service at the same time: the second command
// must be rejected.
func TestLastDataCentreStaysInService(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	takeout := func(name string, others ...string) applier.Command {
		return applier.Command{
			SetService: &applier.SetServiceMsg{
				DataCentre: name,
				Out:        true,
				Operator:   "ada",
				Others:     others,
			},
		}
	}
	m.ok(takeout("dc1", "dc2"))
	m.rejected(takeout("dc2", "dc1"), "data centre dc2 is the last one in service")
	// A repeated takeout changes nothing and is not rejected; a forced one lists no others.
	m.ok(takeout("dc1", "dc2"))
	m.ok(takeout("dc2"))

	b, err := applier.EncodeCommand(takeout("dc1", "dc2", "dc3"))
	c.Assert(err, qt.IsNil)
	decoded, err := applier.DecodeCommand(b)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.SetService.Others, qt.DeepEquals, []string{"dc2", "dc3"})
}
