package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the files that Authority.Save writes.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
)

// serialBits is the length of the random serial numbers of certificates, in bits.
const serialBits = 120

// clockSkew is subtracted from the start of a certificate's validity, so that hosts
// whose clocks are behind accept it.
const clockSkew = 5 * time.Minute

// Authority is a certificate authority that signs hosts' certificates. It is
// intended for fleets without an authority of their own. Its key should be kept on
// an operator's machine, not on a host.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key and a self-signed certificate
// that is valid for the given time.
func NewAuthority(valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "make authority's key")
	}
	t, err := template("jackdawgate authority", valid)
	if err != nil {
		return nil, err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "make authority's certificate")
	}
	c, err := x509.ParseCertificate(der)
	return &Authority{certificate: c, key: key}, eris.Wrap(err, "parse authority's certificate")
}

// LoadAuthority reads an authority that Save wrote to folder.
func LoadAuthority(folder string) (*Authority, error) {
	certificate, err := readPEM(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return nil, err
	}
	private, err := readPEM(filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, eris.Wrap(err, "parse authority's certificate")
	}
	key, err := x509.ParseECPrivateKey(private)
	return &Authority{certificate: c, key: key}, eris.Wrap(err, "parse authority's key")
}

// Save writes the authority to folder. It fails if folder already has one.
func (a *Authority) Save(folder string) error {
	private, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return eris.Wrap(err, "encode authority's key")
	}
	if err := writePEM(filepath.Join(folder, AuthorityKeyFile), "EC PRIVATE KEY", private); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, AuthorityFile), "CERTIFICATE", a.certificate.Raw)
}

// Issue creates a key and certificate for a host or, if addresses are given, for a
// listener for callers at these IP addresses. It writes them to folder as
// NAME-key.pem and NAME.pem, and fails if either file exists.
func (a *Authority) Issue(folder, name string, addresses []string, valid time.Duration) (Files, error) {
	f := Files{
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+"-key.pem"),
		Authority:   filepath.Join(folder, AuthorityFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, eris.Wrap(err, "make key")
	}
	t, err := template(name, valid)
	if err != nil {
		return f, err
	}
	t.DNSNames = []string{name}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range addresses {
		ip := net.ParseIP(address)
		if ip == nil {
			return f, eris.Errorf("%q is not an IP address", address)
		}
		t.IPAddresses = append(t.IPAddresses, ip)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, key.Public(), a.key)
	if err != nil {
		return f, eris.Wrap(err, "make certificate")
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, eris.Wrap(err, "encode key")
	}
	if err := writePEM(f.Key, "EC PRIVATE KEY", private); err != nil {
		return f, err
	}
	return f, writePEM(f.Certificate, "CERTIFICATE", der)
}

// template returns the fields that all certificates have in common.
func template(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "make serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}, nil
}

// readPEM returns the contents of the first PEM block in file.
func readPEM(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, eris.Errorf("%s has no PEM block", file)
	}
	return block.Bytes, nil
}

// writePEM writes a new file that only its owner can read. It fails if file exists.
func writePEM(file, kind string, der []byte) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "write certificate file")
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "write certificate file")
	}
	return eris.Wrap(f.Close(), "write certificate file")
}
