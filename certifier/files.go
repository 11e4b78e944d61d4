package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

func (c *Certifier) names() [3]string {
	return [3]string{c.files.Certificate, c.files.Key, c.files.Authority}
}

// changed reports whether a file has another size or time than when it was read. A missing file is no change: it is
// being replaced.
func (c *Certifier) changed() bool {
	for i, name := range c.names() {
		if s, err := stampOf(name); err == nil && s != c.stamps[i] {
			return true
		}
	}
	return false
}

func stampOf(name string) (stamp, error) {
	info, err := os.Stat(name)
	if err != nil {
		return stamp{}, err
	}
	return stamp{
		size: info.Size(),
		at:   info.ModTime(),
	}, nil
}

// load reads all files and uses them only if they fit each other.
func (c *Certifier) load() error {
	var stamps [3]stamp
	for i, name := range c.names() {
		s, err := stampOf(name)
		if err != nil {
			return errors.Wrap(err, "look at TLS file")
		}
		stamps[i] = s
	}
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Wrapf(err, "read certificate %s", c.files.Certificate)
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Wrap(ErrNoCertificate, c.files.Authority)
	}
	c.stamps = stamps
	c.pair = &pair
	c.pool = pool
	return nil
}
