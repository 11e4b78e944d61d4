package checker

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func BenchmarkCheckExample(b *testing.B) {
	base, overlays := readSources(qt.New(b), filepath.Join("..", "examples", "zbiorka"))
	for b.Loop() {
		Checker{}.Check(base, overlays)
	}
}
