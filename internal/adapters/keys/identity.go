package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
	"fescuespar/internal/lockrank"
)

// Files are the paths of the files that make up an Identity.
type Files struct {
	Authority   string // certificates of one or more trusted authorities
	Certificate string
	Key         string
}

// FilesInDirectory returns the paths of the files that Issue writes into a
// directory.
func FilesInDirectory(directory string) Files {
	return Files{
		Authority:   filepath.Join(directory, AuthorityFile),
		Certificate: filepath.Join(directory, CertificateFile),
		Key:         filepath.Join(directory, KeyFile),
	}
}

func (f Files) paths() [fileCount]string { return [...]string{f.Authority, f.Certificate, f.Key} }

const fileCount = 3

// fileStamp is compared to detect changes of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// keyMaterial is the parsed content of the files at one time.
type keyMaterial struct {
	stamps          [fileCount]fileStamp
	certificate     tls.Certificate
	authorities     *x509.CertPool
	authorityExpiry time.Time // earliest expiry of the authorities
	vm              core.VMID
}

// Identity is the certificate of an entry process and the authorities that it
// trusts. It checks the files for changes at each handshake. While changed files
// cannot be read or do not match, the previous content stays in use. It is safe
// for concurrent use.
type Identity struct {
	files Files

	// mu guards all fields below.
	mu      lockrank.Mutex
	current *keyMaterial
	failure error
}

// Load reads the files. Errors: BadRequest if one cannot be read or parsed.
func Load(files Files) (*Identity, error) {
	stamps, err := readStamps(files)
	if err != nil {
		return nil, err
	}
	loaded, err := readKeyMaterial(files, stamps)
	if err != nil {
		return nil, err
	}
	return &Identity{files: files, current: loaded, mu: lockrank.New(lockrank.RankAdapter)}, nil
}

// VM returns the ID of the VM that the certificate names.
func (i *Identity) VM() core.VMID { return i.currentMaterial().vm }

// ReloadError returns the error of the last attempt to read the files, or nil. It
// does not read them.
func (i *Identity) ReloadError() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failure
}

// State checks the files for changes and returns the expiry times of the content in
// use, and the problem with the files if they are not in use.
func (i *Identity) State() core.KeysState {
	m := i.currentMaterial()
	state := core.KeysState{CertificateUntil: m.certificate.Leaf.NotAfter, AuthorityUntil: m.authorityExpiry}
	if err := i.ReloadError(); err != nil {
		state.Problem = err.Error()
	}
	return state
}

// ServerConfig returns the TLS configuration of a listener that accepts only peers
// with a certificate of a trusted authority. Each handshake uses the current files.
func (i *Identity) ServerConfig(protocol string) *tls.Config {
	base := i.buildServerConfig(protocol)
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return i.buildServerConfig(protocol), nil
	}
	return base
}

func (i *Identity) buildServerConfig(protocol string) *tls.Config {
	m := i.currentMaterial()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.authorities,
		NextProtos:             []string{protocol},
		SessionTicketsDisabled: true,
	}
}

// ClientConfig returns the TLS configuration of one connection to a peer. host is
// the IP address of the peer, which its certificate must name.
func (i *Identity) ClientConfig(protocol, host string) *tls.Config {
	m := i.currentMaterial()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   host,
		NextProtos:   []string{protocol},
	}
}

// currentMaterial returns the key material to use. It reads changed files without
// holding mu.
func (i *Identity) currentMaterial() *keyMaterial {
	i.mu.Lock()
	current := i.current
	i.mu.Unlock()
	stamps, err := readStamps(i.files)
	if err == nil && stamps == current.stamps {
		i.setCurrent(current, nil)
		return current
	}
	loaded := current
	if err == nil {
		loaded, err = readKeyMaterial(i.files, stamps)
	}
	if err != nil {
		loaded = current
	}
	i.setCurrent(loaded, err)
	return loaded
}

func (i *Identity) setCurrent(m *keyMaterial, failure error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = m
	i.failure = failure
}

func readStamps(files Files) (stamps [fileCount]fileStamp, err error) {
	for at, path := range files.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errkind.Wrap(errkind.BadRequest, err, "read attributes of %s", path)
		}
		stamps[at] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func readKeyMaterial(files Files, stamps [fileCount]fileStamp) (*keyMaterial, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "load certificate %s and its key", files.Certificate)
	}
	authorities, err := readAuthorities(files.Authority)
	if err != nil {
		return nil, err
	}
	loaded := &keyMaterial{
		stamps: stamps, certificate: certificate, authorities: x509.NewCertPool(),
		authorityExpiry: authorities[0].NotAfter, vm: core.VMID(certificate.Leaf.Subject.CommonName),
	}
	for _, authority := range authorities {
		loaded.authorities.AddCert(authority)
		if authority.NotAfter.Before(loaded.authorityExpiry) {
			loaded.authorityExpiry = authority.NotAfter
		}
	}
	return loaded, nil
}
