// Package signer authenticates requests that hosts pass to each other.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"
)

// Signer signs requests with HMAC-SHA256 over all of their parts that decide what runs where. The key itself is never sent
// over the network. Make it with New. It is safe for concurrent use.
type Signer struct {
	pool sync.Pool
}

// New returns a Signer with the key that all hosts share.
func New(key string) *Signer {
	return &Signer{
		pool: sync.Pool{
			New: func() any {
				return hmac.New(sha256.New, []byte(key))
			},
		},
	}
}

// Sign returns the signature of a body, given in parts, and the other parts of a request in hexadecimal.
func (s *Signer) Sign(body [][]byte, parts ...string) string {
	h := s.pool.Get().(hash.Hash)
	defer s.pool.Put(h)
	h.Reset()
	var buf [sha256.Size]byte
	scratch := make([]byte, 0, 256)
	for _, p := range parts {
		// The length before each part distinguishes lists of parts that are equal when joined.
		n := len(p)
		scratch = append(scratch, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
		scratch = append(scratch, p...)
	}
	h.Write(scratch)
	for _, part := range body {
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(buf[:0]))
}

// Verify reports whether signature is the signature of body and parts.
func (s *Signer) Verify(signature string, body [][]byte, parts ...string) bool {
	return hmac.Equal([]byte(signature), []byte(s.Sign(body, parts...)))
}
