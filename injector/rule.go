package injector

import (
	"path"
	"strings"

	"github.com/pkg/errors"
)

// rule applies a fault to the bytes from senders to receivers whose names match the patterns from and to.
type rule struct {
	from  string
	to    string
	fault Fault
}

func (r rule) check() error {
	for _, pattern := range []string{r.from, r.to} {
		if _, err := path.Match(strings.TrimPrefix(pattern, "!"), ""); err != nil {
			return errors.Wrapf(err, "pattern %q", pattern)
		}
	}
	return nil
}

func (r rule) matches(from, to string) bool {
	return match(r.from, from) && match(r.to, to)
}

// match reports whether name matches pattern. The pattern "*" alone matches all names, with a slash or without.
func match(pattern, name string) bool {
	negated := strings.HasPrefix(pattern, "!")
	pattern = strings.TrimPrefix(pattern, "!")
	ok, _ := path.Match(pattern, name)
	return (ok || pattern == "*") != negated
}
