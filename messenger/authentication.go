package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"

	"github.com/pkg/errors"
)

// nonceBytes and macBytes are the sizes of a challenge and of its answer.
const (
	nonceBytes = 32
	macBytes   = sha256.Size
)

// The labels keep an answer of one side from being sent back as that of the other.
const (
	clientLabel = "client"
	serverLabel = "server"
)

// authenticateServer proves to the client that it has key and checks that the client has it too.
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

func mac(key []byte, label string, nonce []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(label))
	_, _ = h.Write(nonce)
	return h.Sum(nil)
}
