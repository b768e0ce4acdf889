package keys

import (
	"crypto/ecdsa"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"fescuespar/internal/errkind"
)

const (
	fileMode      fs.FileMode = 0o600
	directoryMode fs.FileMode = 0o700
)

// writeMode determines whether writeFile may replace an existing file.
type writeMode int

const (
	createOnly writeMode = iota
	replace
)

// certificatePair is a certificate to sign, its private key, and the paths to which
// both are written.
type certificatePair struct {
	certificatePath, keyPath string
	template, parent         *x509.Certificate
	key, signer              *ecdsa.PrivateKey
}

func writePair(p certificatePair, mode writeMode) error {
	signed, err := x509.CreateCertificate(rand.Reader, p.template, p.parent, &p.key.PublicKey, p.signer)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "sign certificate")
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode private key")
	}
	key := pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyBytes})
	if err := writeFile(p.keyPath, key, mode); err != nil {
		return err
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: signed})
	return writeFile(p.certificatePath, certificate, mode)
}

// writeFile writes a file atomically, readable by its owner only. Concurrent
// readers see either the old or the new content.
func writeFile(path string, content []byte, mode writeMode) error {
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return errkind.Wrap(errkind.Internal, err, "create directory of %s", path)
	}
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "create %s", path)
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(content)
	err = errors.Join(err, temporary.Chmod(fileMode), temporary.Close())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "write %s", path)
	}
	if mode == replace {
		err = os.Rename(temporary.Name(), path)
	} else {
		err = os.Link(temporary.Name(), path)
	}
	if errors.Is(err, fs.ErrExist) {
		return errkind.Wrap(errkind.BadRequest, err, "create %s: file already exists", path)
	}
	return errkind.Wrap(errkind.Internal, err, "write %s", path)
}

// readAuthorities reads a file that must consist of one or more certificates.
// Errors: BadRequest.
func readAuthorities(path string) ([]*x509.Certificate, error) {
	rest, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read %s", path)
	}
	var certificates []*x509.Certificate
	for block, rest := pem.Decode(rest); block != nil; block, rest = pem.Decode(rest) {
		if block.Type != pemCertificate {
			return nil, errkind.New(errkind.BadRequest, "%s has a PEM block of type %s, want certificates only", path, block.Type)
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err, "parse %s", path)
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, errkind.New(errkind.BadRequest, "%s has no PEM block of type %s", path, pemCertificate)
	}
	return certificates, nil
}

// writeAuthorities replaces the authorities that the VM of a directory trusts.
func writeAuthorities(directory string, authorities []*x509.Certificate) error {
	var content []byte
	for _, authority := range authorities {
		content = append(content, pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: authority.Raw})...)
	}
	return writeFile(filepath.Join(directory, AuthorityFile), content, replace)
}

func readBlock(path, blockType string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "read %s", path)
	}
	block, _ := pem.Decode(content)
	if block == nil || block.Type != blockType {
		return nil, errkind.New(errkind.BadRequest, "%s has no PEM block of type %s", path, blockType)
	}
	return block.Bytes, nil
}
