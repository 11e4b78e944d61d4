package applier_test

import (
	"flag"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

func init() {
	// A fixed seed makes the draws the same in each run, so that CI gives the same verdict each time.
	testing.Init()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

func drawOwner(t *rapid.T, index uint64) applier.OwnerChange {
	return applier.OwnerChange{
		Slot:   keyer.Slot(rapid.IntRange(0, 600).Draw(t, "slot")),
		Target: rapid.SampledFrom([]string{"", "t1", "t2", "t3"}).Draw(t, "target"),
		Epoch:  fencer.NewEpoch(uint32(index), rapid.Uint32Range(0, 50).Draw(t, "change")),
	}
}

// drawCommand draws a command for a log index. About half of those that need the index of an authority in state get it.
func drawCommand(t *rapid.T, index uint64, state *applier.State) applier.Command {
	dc := rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "dc")
	text := rapid.StringMatching("[a-c]{0,2}").Draw(t, "text")
	authorityIndex := rapid.Uint64Range(0, index).Draw(t, "authority")
	if state != nil && rapid.Bool().Draw(t, "current") {
		authorityIndex = state.DataCentres[dc].AuthorityIndex
	}
	at := time.Unix(0, rapid.Int64Range(1, 1<<60).Draw(t, "at")).UTC()
	cmd := applier.Command{
		RequestID: rapid.StringMatching("[a-z]{0,2}").Draw(t, "request"),
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		cmd.PutConfig = &applier.PutConfigMsg{
			Expect:   rapid.Uint64Range(0, 5).Draw(t, "expect"),
			Digest:   text,
			Operator: text,
			At:       at,
			Base:     text,
			Overlays: map[string]string{dc: text},
		}
	case 1:
		cmd.SetService = &applier.SetServiceMsg{
			DataCentre: dc,
			Out:        rapid.Bool().Draw(t, "out"),
			Operator:   text,
			At:         at,
		}
		if rapid.Bool().Draw(t, "oneTarget") {
			cmd.SetService.DataCentre, cmd.SetService.Target = "", "t1"
		}
	case 2:
		cmd.ChangeVoters = &applier.ChangeVotersMsg{
			Voters:   []string{"a", text},
			Learners: []string{"c"},
		}
	case 3:
		cmd.RegisterHost = &applier.RegisterHostMsg{
			Host: applier.Host{
				Name:        text,
				Incarnation: index,
				DataCentre:  dc,
				Control:     rapid.Bool().Draw(t, "control"),
				Peer:        netip.MustParseAddrPort("127.0.0.1:1"),
				RPC:         netip.MustParseAddrPort("[::1]:2"),
			},
		}
	case 4:
		cmd.NameAuthority = &applier.NameAuthorityMsg{
			DataCentre:  dc,
			Host:        "h" + text,
			Incarnation: 1,
		}
	case 5:
		cmd.SetInSync = &applier.SetInSyncMsg{
			DataCentre:     dc,
			AuthorityIndex: authorityIndex,
			InSync:         map[string]uint64{"h" + text: 1, "x": 2},
		}
	case 6:
		cmd.Delegate = &applier.DelegateMsg{
			Service:    "tally",
			DataCentre: dc,
		}
		for range rapid.IntRange(1, 300).Draw(t, "slots") {
			cmd.Delegate.Slots = append(cmd.Delegate.Slots, keyer.Slot(rapid.IntRange(0, 600).Draw(t, "slot")))
		}
	case 7:
		cmd.Assign = &applier.AssignMsg{
			DataCentre:     dc,
			AuthorityIndex: authorityIndex,
			Service:        "tally",
			Owners:         []applier.OwnerChange{drawOwner(t, index)},
		}
		if rapid.Bool().Draw(t, "hot") {
			cmd.Assign.HotKeys = map[string]applier.OwnerChange{}
			for i := range rapid.IntRange(0, 2).Draw(t, "keys") {
				cmd.Assign.HotKeys[fmt.Sprint("key", i)] = drawOwner(t, index)
			}
		}
	}
	return cmd
}

// Guards against hosts whose states diverge: a host that applies decoded commands, or continues from a decoded
// snapshot, must get the same state and results as one that applied the commands themselves. Applying must not change a
// published state, and no configuration version or epoch may decrease.
func TestDecodedStatesAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state, published *applier.State
		batch, publishedSnapshot := applier.NewBatch(nil), ""
		commands := rapid.IntRange(1, 40).Draw(t, "commands")
		for index := uint64(1); index <= uint64(commands); index++ {
			cmd := drawCommand(t, index, state)
			b, err := applier.EncodeCommand(cmd)
			require(t, err == nil, "encode: %v", err)
			decoded, err := applier.DecodeCommand(b)
			require(t, err == nil && reflect.DeepEqual(decoded, cmd), "decoded %+v from %+v: %v", decoded, cmd, err)

			before := encode(t, state)
			next, r := state.Apply(index, cmd)
			require(t, encode(t, state) == before, "a published state changed")
			checkMonotonic(t, state, next)

			batchResult := batch.Apply(index, decoded)
			require(t, encodeResult(t, batchResult) == encodeResult(t, r), "results %+v and %+v", batchResult, r)
			require(t, published == nil || encode(t, published) == publishedSnapshot, "a state published by a batch changed")
			state = next
			switch rapid.IntRange(0, 5).Draw(t, "publish") {
			case 0:
				published = batch.State()
				publishedSnapshot = encode(t, published)
				require(t, publishedSnapshot == encode(t, next), "states differ")
			case 1:
				restored, err := applier.DecodeSnapshot([]byte(encode(t, batch.State())))
				require(t, err == nil, "decode: %v", err)
				batch = applier.NewBatch(restored)
			}
		}
		require(t, encode(t, batch.State()) == encode(t, state), "states differ")
	})
}

func require(t *rapid.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

func encode(t *rapid.T, s *applier.State) string {
	b, err := applier.EncodeSnapshot(s)
	require(t, err == nil, "encode: %v", err)
	return string(b)
}

// encodeResult returns the encoding of r, after it has checked that r is decoded from it unchanged.
func encodeResult(t *rapid.T, r applier.Result) string {
	b, err := applier.EncodeResult(r)
	require(t, err == nil, "encode: %v", err)
	decoded, err := applier.DecodeResult(b)
	require(t, err == nil && reflect.DeepEqual(decoded, r), "decoded %+v from %+v: %v", decoded, r, err)
	return string(b)
}

// checkMonotonic fails the test if a configuration version or an epoch decreased, or an owner changed under one epoch.
func checkMonotonic(t *rapid.T, old, next *applier.State) {
	if old == nil {
		return
	}
	require(t, next.Config.Version >= old.Config.Version, "the version of the configuration decreased")
	for slot, e := range old.Slots["tally"].All() {
		after, ok := next.Slots["tally"].Entry(slot)
		require(t, ok && after.Epoch >= e.Epoch, "epoch of slot %d decreased", slot)
		require(t, after.Target == e.Target || after.Target == "" || after.Epoch > e.Epoch, "slot %d moved without a new epoch", slot)
	}
}
