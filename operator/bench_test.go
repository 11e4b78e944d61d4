package operator

import (
	"fmt"
	"strings"
	"testing"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/merger"
)

// BenchmarkStatus collects the status of a deployment of the size that the design aims at: 6,500 hosts, as many
// targets, and 131,072 slots.
func BenchmarkStatus(b *testing.B) {
	const slots, hosts = 131072, 6500
	f := newFixture(b)
	f.control.st.Config.Base = strings.Replace(f.base, "slots = 1024", fmt.Sprintf("slots = %d", slots), 1)
	f.control.st.Config.Digest = merger.Digest(f.control.st.Config.Base, nil)
	f.facts = Facts{Leader: "krakow-1"}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		f.facts.Hosts = append(f.facts.Hosts, HostFacts{Name: name, DataCentre: "krakow", Reachable: true, ConfigVersion: 1})
		f.facts.Targets = append(f.facts.Targets, TargetFacts{Name: "tally-" + name, Service: "tally", DataCentre: "krakow"})
	}
	allSlots := make([]keyer.Slot, slots)
	owners := make([]applier.OwnerChange, slots)
	for i := range allSlots {
		allSlots[i] = keyer.Slot(i)
		owners[i] = applier.OwnerChange{
			Slot: allSlots[i], Target: fmt.Sprintf("tally-host-%d", i%hosts), Epoch: fencer.NewEpoch(12, uint32(i+1)),
		}
	}
	for _, cmd := range []applier.Command{
		{NameAuthority: &applier.NameAuthorityMsg{DataCentre: "krakow", Host: "host-1", Incarnation: 1}},
		{Delegate: &applier.DelegateMsg{Service: "tally", Slots: allSlots, DataCentre: "krakow"}},
		{Assign: &applier.AssignMsg{DataCentre: "krakow", AuthorityIndex: 11, Service: "tally", Owners: owners}},
	} {
		if res, _ := f.control.Propose(b.Context(), cmd); res.Rejection != "" {
			b.Fatal(res.Rejection)
		}
	}
	for b.Loop() {
		if s := f.o.collectStatus(b.Context()); s.Services[0].Unowned != 0 {
			b.Fatalf("%d slots have no owner", s.Services[0].Unowned)
		}
	}
}
