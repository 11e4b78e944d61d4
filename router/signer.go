package router

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"
)

// signer authenticates forwarded requests with HMAC-SHA256 over all of their parts that decide what runs where. The key
// itself is never sent over the network.
type signer struct {
	pool sync.Pool
}

func newSigner(key string) *signer {
	return &signer{
		pool: sync.Pool{
			New: func() any {
				return hmac.New(sha256.New, []byte(key))
			},
		},
	}
}

// sign returns the signature of a body and the other parts of a request in hexadecimal.
func (s *signer) sign(body []byte, parts ...string) string {
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
	h.Write(body)
	return hex.EncodeToString(h.Sum(buf[:0]))
}

// verify reports whether signature is the signature of body and parts.
func (s *signer) verify(signature string, body []byte, parts ...string) bool {
	return hmac.Equal([]byte(signature), []byte(s.sign(body, parts...)))
}
