package merger

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/parser"
)

// FuzzMerge guards against texts for which the overlay's value does not win, a value has a line of another file, or
// merging a file with itself changes it.
func FuzzMerge(f *testing.F) {
	f.Add("[a]\nx = 1\n", "[a]\nx = 2\n")
	f.Add("[service tally]\nkind = keyed ; why\nkey = path:1\n", "[service tally]\nkey = \"header:x\"\n[timing]\nheartbeat=1s")
	f.Add("x = 1\n[a\n[]\n= 3\n- = 4\n- = 5\n[DEFAULT]\ny = `6\n", "\ufeff[a]\r\nx = %(y)s\r\nz = '''\r\n")
	f.Add("[a]\n[a]\nx=1\nx=2", "[a]\n\"\"\"x\"\"\" = \"\"\"1\n2\"\"\"\n")
	f.Fuzz(func(t *testing.T, baseText, overlayText string) {
		base, _ := parser.Parse(parser.Source{Name: "base", Text: baseText})
		overlay, _ := parser.Parse(parser.Source{Name: "overlay", Text: overlayText})
		m := Merge(&base, &overlay)
		overlayTwice := Merge(&overlay, &overlay)
		for _, section := range overlay.Sections {
			for _, s := range section.Settings {
				v, ok := m.Value(section.Name, s.Name)
				if !ok || v.File != "overlay" || v.Text != s.Value || v.Line != s.Line {
					t.Fatalf("overlay has %+v, merge has %+v", s, v)
				}
				if w, _ := overlayTwice.Value(section.Name, s.Name); w != v {
					t.Fatalf("merge has %+v, merge with itself %+v", v, w)
				}
			}
		}
		for _, section := range base.Sections {
			for _, s := range section.Settings {
				if v, ok := m.Value(section.Name, s.Name); !ok || v.File == "base" && (v.Text != s.Value || v.Line != s.Line) {
					t.Fatalf("base has %+v, merge has %+v", s, v)
				}
			}
		}
	})
}

// Guards against equal digests of different texts, for instance when text moves to another file.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	seen := make(map[string]bool)
	for _, test := range []struct {
		base     string
		overlays map[string]string
	}{
		{base: "ab"},
		{base: "a", overlays: map[string]string{"b": ""}},
		{base: "a", overlays: map[string]string{"": "b"}},
		{base: "", overlays: map[string]string{"a": "b"}},
		{base: "", overlays: map[string]string{"a": "", "b": ""}},
	} {
		d := Digest(test.base, test.overlays)
		c.Assert(seen[d], qt.IsFalse)
		c.Assert(Digest(test.base, test.overlays), qt.Equals, d)
		seen[d] = true
	}
}
