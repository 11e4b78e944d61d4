package indexer

import (
	"flag"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func init() {
	// With a fixed seed, CI gets the same result each time.
	testing.Init()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against a change of one version that is visible in another.
func TestVersionsStayAsTheyWere(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			m    Map[int, int]
			want map[int]int
		}
		versions := []version{{}}
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			from := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "from")]
			key := rapid.IntRange(0, 300).Draw(t, "key")
			next := version{
				want: maps.Clone(from.want),
			}
			if next.want == nil {
				next.want = make(map[int]int)
			}
			if rapid.Bool().Draw(t, "delete") {
				next.m = from.m.Without(key)
				delete(next.want, key)
			} else {
				next.m = from.m.With(key, len(versions))
				next.want[key] = len(versions)
			}
			versions = append(versions, next)
		}
		for _, v := range versions {
			c.Assert(v.m.Len(), qt.Equals, len(v.want))
			keys := slices.Sorted(maps.Keys(v.want))
			for i, key := range keys {
				at, value, ok := v.m.Floor(key)
				c.Assert(ok && at == key && value == v.want[key], qt.IsTrue)
				var rest []int
				for k := range v.m.From(key) {
					rest = append(rest, k)
				}
				c.Assert(rest, qt.DeepEquals, keys[i:])
			}
		}
	})
}
