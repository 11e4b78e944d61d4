package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"

	"github.com/pkg/errors"
)

// Both sides authenticate each other by challenge and response: each proves that it has the system key by an
// HMAC-SHA256 of a random nonce of the other side.
//
// nonceBytes and macBytes are the sizes of a challenge and of its answer.
const (
	nonceBytes = 32
	macBytes   = sha256.Size
)

// The labels differ for the two sides, so that the answer of one side cannot be sent back as the answer of the other
// (reflection attack).
const (
	clientLabel = "client"
	serverLabel = "server"
)

// authenticateServer checks that the client has key, and then proves to the client that this side has it too.
func authenticateServer(conn net.Conn, key []byte) error {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	if _, err := conn.Write(nonce[:]); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	var answer [macBytes + nonceBytes]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if !hmac.Equal(answer[:macBytes], mac(key, clientLabel, nonce[:])) {
		return ErrAuthentication
	}
	if _, err := conn.Write(mac(key, serverLabel, answer[macBytes:])); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return nil
}

// authenticateClient answers the server's challenge and checks that the server has key too.
func authenticateClient(conn net.Conn, key []byte) error {
	var challenge [nonceBytes]byte
	if _, err := io.ReadFull(conn, challenge[:]); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:])
	answer := append(mac(key, clientLabel, challenge[:]), nonce[:]...)
	if _, err := conn.Write(answer); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	var proof [macBytes]byte
	if _, err := io.ReadFull(conn, proof[:]); err != nil {
		return errors.Wrap(ErrAuthentication, "peer closed the connection")
	}
	if !hmac.Equal(proof[:], mac(key, serverLabel, nonce[:])) {
		return ErrAuthentication
	}
	return nil
}

// mac returns the HMAC-SHA256 of label and nonce.
func mac(key []byte, label string, nonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(label))
	_, _ = h.Write(nonce)
	return h.Sum(nil)
}
