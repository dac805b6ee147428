// Package certifier provides TLS configurations from certificate files that may be
// replaced while the process runs. Each handshake uses the current contents of the
// files, checked at most once a second, so that certificates can be renewed without
// a restart. If the files can't be read or don't match each other, the last valid
// contents remain in use.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Files are the names of PEM files. Authority may be empty if no peer is verified.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certifier holds the last valid contents of Files. It is safe for concurrent use.
type Certifier struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamp   stamp
	pair    *tls.Certificate
	pool    *x509.CertPool
	err     error
}

// stamp tells the states of the files apart: the modification time, in nanoseconds, and the
// size of each. A file may be replaced by one that was modified earlier.
type stamp [3]struct{ modified, size int64 }

// New returns a Certifier for the files. It returns an error if they are not valid
// now.
func New(f Files) (*Certifier, error) {
	c := &Certifier{files: f}
	s, err := f.stamp()
	if err != nil {
		return nil, err
	}
	if c.pair, c.pool, err = f.read(); err != nil {
		return nil, err
	}
	c.stamp, c.checked = s, time.Now()
	return c, nil
}

// ServerConfig returns the configuration of a listener that presents the certificate
// and doesn't verify its clients.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { pair, _ := c.current(); return pair, nil },
	}
}

// MutualServerConfig returns the configuration of a listener that also requires a client
// certificate signed by the authority.
func (c *Certifier) MutualServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// MutualClientConfig returns the configuration for connecting to a listener that uses
// MutualServerConfig. It accepts any certificate signed by the authority, whatever
// its name, since hosts are dialled by address.
func (c *Certifier) MutualClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetClientCertificate:   func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { pair, _ := c.current(); return pair, nil },
		InsecureSkipVerify:     true, // VerifyConnection verifies the chain, without the name.
		VerifyConnection:       c.verify,
		SessionTicketsDisabled: true,
	}
}

// verify checks the certificate chain of the listener against the authority.
func (c *Certifier) verify(s tls.ConnectionState) error {
	_, pool := c.current()
	intermediates := x509.NewCertPool()
	for _, p := range s.PeerCertificates[1:] {
		intermediates.AddCert(p)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	return eris.Wrap(err, "verify host's certificate")
}

// Err returns the error that prevents the use of the current files, or nil.
func (c *Certifier) Err() error {
	c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// current returns the last valid contents, after checking the files if
// checkInterval has passed.
func (c *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= checkInterval {
		c.checked = time.Now()
		c.refresh()
	}
	return c.pair, c.pool
}

// refresh reads the files if any of them has changed. The caller holds c.mu.
func (c *Certifier) refresh() {
	changed, err := c.files.stamp()
	if err != nil || changed == c.stamp {
		c.err = err
		return
	}
	pair, pool, err := c.files.read()
	c.err = err
	if err == nil {
		c.pair, c.pool, c.stamp = pair, pool, changed
	}
}

// stamp returns the current state of the files.
func (f Files) stamp() (stamp, error) {
	var s stamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return s, eris.Wrap(err, "stat certificate file")
		}
		s[i].modified, s[i].size = info.ModTime().UnixNano(), info.Size()
	}
	return s, nil
}

// read loads the key pair, and the pool of the authority if there is one.
func (f Files) read() (*tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "load certificate")
	}
	if f.Authority == "" {
		return &pair, nil, nil
	}
	data, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, nil, eris.Errorf("no certificate in %s", f.Authority)
	}
	return &pair, pool, nil
}
