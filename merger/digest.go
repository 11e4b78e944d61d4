package merger

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the hexadecimal xxhash64 digest of the text of a base file, and of the names and texts of all overlays
// in the order of their names. Each is preceded by its length, so that moving text from one file to another changes the
// digest.
func Digest(base string, overlays map[string]string) string {
	h := xxhash.New()
	writeText := func(text string) {
		_, _ = fmt.Fprintf(h, "%d:", len(text))
		_, _ = io.WriteString(h, text)
	}
	writeText(base)
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		writeText(name)
		writeText(overlays[name])
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
