package merger

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns the hexadecimal xxhash64 digest of the text of a base file and of all overlays by name. Each text is
// preceded by its length, so that moving text from one file to another changes the digest.
func Digest(base string, overlays map[string]string) string {
	h := xxhash.New()
	write := func(text string) {
		_, _ = fmt.Fprintf(h, "%d:", len(text))
		_, _ = io.WriteString(h, text)
	}
	write(base)
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		write(name)
		write(overlays[name])
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
