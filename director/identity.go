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
	identityFile = "identity"
	// identityBytes is the number of random bytes in a name.
	identityBytes = 6
)

// founderName returns the name of a founder: a host that forms the control group at the first start of the whole system.
// All hosts can derive it from the address alone.
func founderName(rpc netip.AddrPort) string {
	return "host-" + rpc.Addr().String()
}

// loadIdentity returns the name of this host in the control group. The name is stored in the data folder, and created if
// the folder has none. A host that lost its disk gets a new name: under the old one, other hosts may rely on entries
// that it acknowledged and has lost.
func loadIdentity(folder string, rpc netip.AddrPort, founder bool) (string, error) {
	fs := journaler.Disk{
		Folder: folder,
	}
	names, err := fs.List()
	if err != nil {
		return "", errors.Wrap(err, "data folder")
	}
	for _, name := range names {
		if name != identityFile {
			continue
		}
		b, err := fs.ReadFile(identityFile)
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

// writeIdentity makes the name durable before it is used. The full stop at the end distinguishes a complete file from one
// that was partly written before a crash.
func writeIdentity(fs journaler.Disk, name string) error {
	f, err := fs.Create(identityFile)
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
