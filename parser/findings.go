package parser

import (
	"cmp"
	"slices"
	"strings"
)

// SortFindings returns findings sorted by file, line and message, without duplicates.
func SortFindings(findings []Finding) []Finding {
	sorted := slices.Clone(findings)
	slices.SortFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(sorted)
}
