package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

func (c *Certifier) fileNames() [3]string {
	return [3]string{c.files.Certificate, c.files.Key, c.files.Authority}
}

// filesChanged reports whether a file has another size or modification time than when it was read. A missing file is no
// change: it is being replaced.
func (c *Certifier) filesChanged() bool {
	for i, name := range c.fileNames() {
		if s, err := stampOf(name); err == nil && s != c.stamps[i] {
			return true
		}
	}
	return false
}

// stampOf returns the stamp of the named file.
func stampOf(name string) (stamp, error) {
	info, err := os.Stat(name)
	if err != nil {
		return stamp{}, err
	}
	return stamp{
		size:       info.Size(),
		modifiedAt: info.ModTime(),
	}, nil
}

// load reads all files, and puts them in use only if all are valid and the key belongs to the certificate.
func (c *Certifier) load() error {
	var stamps [3]stamp
	for i, name := range c.fileNames() {
		s, err := stampOf(name)
		if err != nil {
			return errors.Wrap(err, "check TLS file")
		}
		stamps[i] = s
	}
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read certificate %s", c.files.Certificate)
	}
	authorityPEM, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return errors.Wrap(ErrNoCertificate, c.files.Authority)
	}
	c.stamps = stamps
	c.pair = &pair
	c.pool = pool
	return nil
}
