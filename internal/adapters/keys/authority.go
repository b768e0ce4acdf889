// Package keys creates the certificate authority of a site, issues certificates for
// its entry VMs, and loads both for mutual TLS between entry processes.
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
	clockTolerance    = 5 * time.Minute // how far VM clocks may be behind the clock of the issuer
	serialBits        = 127
)

// File names in the directory of an authority or a VM.
const (
	AuthorityFile    = "authority.pem" // certificate of the authority, or those that a VM trusts
	AuthorityKeyFile = "authority.key" // private key of the authority
	CertificateFile  = "certificate.pem"
	KeyFile          = "certificate.key"
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// CreateAuthority writes the certificate and key of a new authority into a
// directory, which it creates if necessary. It does not replace an existing
// authority. Errors: BadRequest if there is one, Internal if a file cannot be
// written.
func CreateAuthority(directory, site string, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "generate ECDSA key")
	}
	template, err := newTemplate(site+" entry process authority", now, authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return writePair(certificatePair{
		certificatePath: filepath.Join(directory, AuthorityFile),
		keyPath:         filepath.Join(directory, AuthorityKeyFile),
		template:        template, parent: template, key: key, signer: key,
	}, createOnly)
}

// IssueRequest describes the certificate to issue for an entry VM.
type IssueRequest struct {
	Authority string // directory of the authority
	VM        core.VMID
	Addresses []net.IP // IP addresses that peers use to reach the VM
	Lifetime  time.Duration
	Directory string // receives the certificate and the key; the authority is added to the trusted ones
}

// Issue writes the certificate and key of a VM and replaces existing ones. Errors:
// BadRequest if the request is incomplete or the authority cannot be loaded,
// Internal if a file cannot be written.
func Issue(request IssueRequest, now time.Time) error {
	if request.VM == "" || len(request.Addresses) == 0 || request.Lifetime <= 0 {
		return errkind.New(errkind.BadRequest, "incomplete certificate request: a VM name, an address and a positive lifetime are required")
	}
	authority, err := loadAuthority(request.Authority)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "generate ECDSA key")
	}
	template, err := newTemplate(string(request.VM), now, request.Lifetime)
	if err != nil {
		return err
	}
	template.IPAddresses = request.Addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	err = writePair(certificatePair{
		certificatePath: filepath.Join(request.Directory, CertificateFile),
		keyPath:         filepath.Join(request.Directory, KeyFile),
		template:        template, parent: authority.certificate, key: key, signer: authority.key,
	}, replace)
	if err != nil {
		return err
	}
	return addAuthority(request.Directory, authority.certificate)
}

// addAuthority adds an authority to the ones that a VM trusts. The VM keeps trusting
// the others, so that it still accepts peers with certificates of those.
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

// SetTrustedAuthorities replaces the authorities that the VM of a directory
// trusts with the ones of the given directories. Errors: BadRequest if there
// are none or one cannot be read, Internal if the file cannot be written.
func SetTrustedAuthorities(directory string, authorities []string) error {
	var trusted []*x509.Certificate
	for _, authority := range authorities {
		found, err := readAuthorities(filepath.Join(authority, AuthorityFile))
		if err != nil {
			return err
		}
		trusted = append(trusted, found...)
	}
	if len(trusted) == 0 {
		return errkind.New(errkind.BadRequest, "no authority to trust: at least one is required")
	}
	return writeAuthorities(directory, trusted)
}

// authorityPair is the certificate and private key of an authority.
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
		return authorityPair{}, errkind.Wrap(errkind.BadRequest, err, "parse certificate of the authority")
	}
	keyBytes, err := readBlock(filepath.Join(directory, AuthorityKeyFile), pemKey)
	if err != nil {
		return authorityPair{}, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBytes)
	if err != nil {
		return authorityPair{}, errkind.Wrap(errkind.BadRequest, err, "parse private key of the authority")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return authorityPair{}, errkind.New(errkind.BadRequest, "private key of the authority is not an ECDSA key")
	}
	return authorityPair{certificate, key}, nil
}

func newTemplate(name string, now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}
