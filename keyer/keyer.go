// Package keyer extracts the sharding key of a request and maps it to a hash slot. Hosts of all versions of the program
// find the same key and slot for a request.
package keyer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxKeyBytes bounds a key, so that a caller cannot make hosts keep long strings in sketches and suspect records.
const MaxKeyBytes = 512

var (
	// ErrNoKey reports a request without its key.
	ErrNoKey = errors.New("request has no key")
	// ErrKeyTooLong reports a key of more than MaxKeyBytes bytes.
	ErrKeyTooLong = errors.New("key is too long")
	// ErrKeyTwice reports a request that names its key more than once.
	ErrKeyTwice = errors.New("request names its key more than once")
	// ErrBadSource reports a key setting that is none of header:NAME, path:N and query:NAME.
	ErrBadSource = errors.New("key source must be header:NAME, path:N or query:NAME")
)

// Slot is the number of a hash slot of one service, from zero.
type Slot uint32

// Keyer finds the key of a request of one service. Make it with New.
type Keyer struct {
	slots uint64
	// kind is "header", "path" or "query", and name what follows the colon in the source.
	kind string
	name string
	// segment is the number of the path segment, counted from one.
	segment int
}

// New returns a Keyer for a source such as "header:Picker", "path:2" or "query:dealer", and a number of slots.
func New(source string, slots int) (Keyer, error) {
	kind, name, _ := strings.Cut(source, ":")
	k := Keyer{
		slots: uint64(max(1, slots)),
		kind:  kind,
		name:  name,
	}
	if name == "" {
		return Keyer{}, errors.Wrapf(ErrBadSource, "%q", source)
	}
	switch kind {
	case "header":
		k.name = http.CanonicalHeaderKey(name)
	case "query":
	case "path":
		n, err := strconv.Atoi(name)
		if err != nil || n < 1 {
			return Keyer{}, errors.Wrapf(ErrBadSource, "%q", source)
		}
		k.segment = n
	default:
		return Keyer{}, errors.Wrapf(ErrBadSource, "%q", source)
	}
	return k, nil
}

// Key returns the key of r. Its errors are ErrNoKey, ErrKeyTwice and ErrKeyTooLong.
func (k Keyer) Key(r *http.Request) (string, error) {
	key, err := k.extract(r)
	if err != nil {
		return "", err
	}
	if key == "" {
		return "", ErrNoKey
	}
	if len(key) > MaxKeyBytes {
		return "", ErrKeyTooLong
	}
	return key, nil
}

// extract returns the key from the part of r that the source names. It may be empty or too long.
func (k Keyer) extract(r *http.Request) (string, error) {
	switch k.kind {
	case "header":
		return singleValue(r.Header[k.name])
	case "query":
		return singleValue(r.URL.Query()[k.name])
	case "path":
		return pathSegment(r.URL.Path, k.segment), nil
	}
	return "", ErrNoKey
}

// singleValue returns the only value. Repeated ones are an error: two hosts that pick different ones would route one
// request to two owners.
func singleValue(values []string) (string, error) {
	switch len(values) {
	case 0:
		return "", ErrNoKey
	case 1:
		return values[0], nil
	}
	return "", ErrKeyTwice
}

// pathSegment returns the n-th segment of path, counted from one; empty if path has fewer.
func pathSegment(path string, n int) string {
	path = strings.TrimPrefix(path, "/")
	for ; n > 1; n-- {
		_, rest, found := strings.Cut(path, "/")
		if !found {
			return ""
		}
		path = rest
	}
	s, _, _ := strings.Cut(path, "/")
	return s
}

// Slot returns the hash slot of key.
func (k Keyer) Slot(key string) Slot {
	return Slot(xxhash.Sum64String(key) % max(1, k.slots))
}
