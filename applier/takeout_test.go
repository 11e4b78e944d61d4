package applier_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
)

// Two operators who take out the last two data centres at the same time must not both succeed.
func TestLastDataCentreStaysInService(t *testing.T) {
	c := qt.New(t)
	m := &machine{
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
	m.refused(takeout("dc2", "dc1"), "data centre dc2 is the last one in service")
	// A repeated takeout changes nothing and is no refusal, and a forced one names no others.
	m.ok(takeout("dc1", "dc2"))
	m.ok(takeout("dc2"))

	b, err := applier.EncodeCommand(takeout("dc1", "dc2", "dc3"))
	c.Assert(err, qt.IsNil)
	decoded, err := applier.DecodeCommand(b)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.SetService.Others, qt.DeepEquals, []string{"dc2", "dc3"})
}
