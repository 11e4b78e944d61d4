// Package cacher is a cache of the decoded traffic table, which the replicated registry stores as text.
package cacher

import (
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

// Cacher holds the last table that it decoded, so that each version is decoded once. It is not safe for concurrent use.
type Cacher struct {
	// Decode decodes a stored table.
	Decode func(registrar.Document) (*matcher.Table, error)

	table *matcher.Table
}

// Table returns the table that doc stores, nil while nothing is stored. An error says that doc cannot be decoded; the
// table is then the last one that could.
func (c *Cacher) Table(doc registrar.Document) (*matcher.Table, error) {
	if doc.Version == 0 || c.table != nil && c.table.Version == doc.Version {
		return c.table, nil
	}
	t, err := c.Decode(doc)
	if err != nil {
		return c.table, err
	}
	c.table = t
	return t, nil
}
