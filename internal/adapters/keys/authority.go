// Package keys makes a site's own certificate authority and the certificates
// of its entry VMs, and loads them for mutual TLS between entry processes.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	clockTolerance    = 5 * time.Minute // by which VM clocks may be behind the issuer's
	serialBits        = 127
)

// File names inside an authority's or a VM's directory.
const (
	AuthorityFile    = "authority.pem" // certificate of the authority
	AuthorityKeyFile = "authority.key" // private key of the authority
	CertificateFile  = "certificate.pem"
	KeyFile          = "certificate.key"
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// CreateAuthority writes a new authority's certificate and key into a
// directory, which it creates. It refuses to replace an authority. Errors:
// BadRequest when one exists, Internal when a file cannot be written.
func CreateAuthority(directory, site string, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "generate a key")
	}
	template, err := newTemplate(site+" entry process authority", now, authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return writePair(pair{
		certificatePath: filepath.Join(directory, AuthorityFile),
		keyPath:         filepath.Join(directory, AuthorityKeyFile),
		template:        template, parent: template, key: key, signer: key,
	}, createOnly)
}

// IssueRequest asks for the certificate of one entry VM.
type IssueRequest struct {
	Authority string // directory of the authority
	VM        core.VMID
	Addresses []net.IP // addresses at which peers reach the VM
	Lifetime  time.Duration
	Directory string // where certificate and key go; the authority is added to those trusted there
}

// Issue writes a VM's certificate and key, replacing older ones. Errors:
// BadRequest when the request is incomplete or there is no authority, Internal
// when a file cannot be written.
func Issue(request IssueRequest, now time.Time) error {
	if request.VM == "" || len(request.Addresses) == 0 || request.Lifetime <= 0 {
		return errkind.New(errkind.BadRequest, "a certificate needs a VM name, an address and a lifetime")
	}
	authority, err := loadAuthority(request.Authority)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "generate a key")
	}
	template, err := newTemplate(string(request.VM), now, request.Lifetime)
	if err != nil {
		return err
	}
	template.IPAddresses = request.Addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	err = writePair(pair{
		certificatePath: filepath.Join(request.Directory, CertificateFile),
		keyPath:         filepath.Join(request.Directory, KeyFile),
		template:        template, parent: authority.certificate, key: key, signer: authority.key,
	}, replace)
	if err != nil {
		return err
	}
	return addAuthority(request.Directory, authority.certificate)
}

// addAuthority makes a directory's VM trust an authority beside those that it
// trusts already, so that a certificate of another authority cuts nobody off.
func addAuthority(directory string, added *x509.Certificate) error {
	path := filepath.Join(directory, AuthorityFile)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return writeAuthorities(directory, []*x509.Certificate{added})
	}
	trusted, err := readAuthorities(path)
	if err != nil {
		return err
	}
	if slices.ContainsFunc(trusted, added.Equal) {
		return nil
	}
	return writeAuthorities(directory, append(trusted, added))
}

// Trust makes a directory's VM trust exactly the authorities of the given
// directories. Errors: BadRequest when there is none or one cannot be read,
// Internal when the file cannot be written.
func Trust(directory string, authorities []string) error {
	var trusted []*x509.Certificate
	for _, authority := range authorities {
		found, err := readAuthorities(filepath.Join(authority, AuthorityFile))
		if err != nil {
			return err
		}
		trusted = append(trusted, found...)
	}
	if len(trusted) == 0 {
		return errkind.New(errkind.BadRequest, "a VM needs an authority to trust")
	}
	return writeAuthorities(directory, trusted)
}

// authorityPair is an authority as loaded for signing.
type authorityPair struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func loadAuthority(directory string) (authorityPair, error) {
	certificateBytes, err := readBlock(filepath.Join(directory, AuthorityFile), pemCertificate)
	if err != nil {
		return authorityPair{}, err
	}
	certificate, err := x509.ParseCertificate(certificateBytes)
	if err != nil {
		return authorityPair{}, errkind.Wrap(errkind.BadRequest, err, "parse the authority's certificate")
	}
	keyBytes, err := readBlock(filepath.Join(directory, AuthorityKeyFile), pemKey)
	if err != nil {
		return authorityPair{}, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBytes)
	if err != nil {
		return authorityPair{}, errkind.Wrap(errkind.BadRequest, err, "parse the authority's key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return authorityPair{}, errkind.New(errkind.BadRequest, "the authority's key is no ECDSA key")
	}
	return authorityPair{certificate, key}, nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "draw a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}
