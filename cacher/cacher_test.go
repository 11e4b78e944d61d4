package cacher

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

// Guards against a table that is decoded again at each call, and against one that is lost because the next cannot be
// decoded.
func TestTableIsReadOnceAndKept(t *testing.T) {
	c := qt.New(t)
	decodes := 0
	cache := Cacher{
		Decode: func(doc registrar.Document) (*matcher.Table, error) {
			decodes++
			if len(doc.Body) == 0 {
				return nil, errors.New("unreadable")
			}
			return matcher.New(doc.Version, nil, nil, matcher.Limits{}), nil
		},
	}
	none, err := cache.Table(registrar.Document{})
	c.Assert(err, qt.IsNil)
	c.Assert(none, qt.IsNil)
	for range 3 {
		table, err := cache.Table(registrar.Document{
			Version: 1,
			Body:    []byte("x"),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(table.Version, qt.Equals, uint64(1))
	}
	c.Assert(decodes, qt.Equals, 1)
	table, err := cache.Table(registrar.Document{
		Version: 2,
	})
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(table.Version, qt.Equals, uint64(1))
}
