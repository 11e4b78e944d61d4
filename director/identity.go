package director

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
)

const (
	identityName = "identity"
	// identityBytes is the size of the random part of a name.
	identityBytes = 6
)

// founderName is the name of a host that forms the control group at the first start of the whole system. All hosts can
// tell it from the address alone.
func founderName(rpc netip.AddrPort) string {
	return "host-" + rpc.Addr().String()
}

// identity returns the name of this host in the control group, which lasts as long as its data folder. A host that lost
// its disk gets a new name: under the old one others may count on what it acknowledged before.
func identity(folder string, rpc netip.AddrPort, founder bool) (string, error) {
	fs := journaler.Disk{
		Folder: folder,
	}
	names, err := fs.List()
	if err != nil {
		return "", errors.Wrap(err, "data folder")
	}
	for _, name := range names {
		if name != identityName {
			continue
		}
		b, err := fs.ReadFile(identityName)
		if err != nil {
			return "", errors.Wrap(err, "read identity")
		}
		if text := strings.TrimSpace(string(b)); strings.HasSuffix(text, ".") {
			return strings.TrimSuffix(text, "."), nil
		}
	}
	name := founderName(rpc)
	if !founder {
		var b [identityBytes]byte
		_, _ = rand.Read(b[:])
		name += "-" + hex.EncodeToString(b[:])
	}
	return name, errors.Wrap(writeIdentity(fs, name), "write identity")
}

// writeIdentity makes the name durable before it is used. The full stop tells a whole file from a torn one.
func writeIdentity(fs journaler.Disk, name string) error {
	f, err := fs.Create(identityName)
	if err != nil {
		return err
	}
	if _, err := f.Write([]byte(name + ".\n")); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return fs.SyncFolder()
}
