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

// Files names the files of one entry process's identity.
type Files struct {
	Authority   string // certificates of the site's authorities, one or more
	Certificate string
	Key         string
}

// InDirectory returns the files that Issue wrote into a directory.
func InDirectory(directory string) Files {
	return Files{
		Authority:   filepath.Join(directory, AuthorityFile),
		Certificate: filepath.Join(directory, CertificateFile),
		Key:         filepath.Join(directory, KeyFile),
	}
}

func (f Files) paths() [fileCount]string { return [...]string{f.Authority, f.Certificate, f.Key} }

const fileCount = 3

// fileMark tells whether a file has changed.
type fileMark struct {
	modified time.Time
	size     int64
}

// material is the content of the files at one moment.
type material struct {
	marks       [fileCount]fileMark
	certificate tls.Certificate
	authorities *x509.CertPool
	until       time.Time // earliest end of an authority's validity
	vm          core.VMID
}

// Identity is an entry process's certificate and the authorities that it trusts.
// Changed files are seen at the next handshake; while the new ones cannot be
// read or do not fit together, the last good ones stay in use.
type Identity struct {
	files Files

	// mu guards all fields below.
	mu      lockrank.Mutex
	current *material
	failure error
}

// Load reads the files. Errors: BadRequest.
func Load(files Files) (*Identity, error) {
	marks, err := readMarks(files)
	if err != nil {
		return nil, err
	}
	loaded, err := readMaterial(files, marks)
	if err != nil {
		return nil, err
	}
	return &Identity{files: files, current: loaded, mu: lockrank.New(lockrank.RankAdapter)}, nil
}

// VM returns the VM that the certificate names.
func (i *Identity) VM() core.VMID { return i.latest().vm }

// ReloadError returns why the files as last seen are not in use, or nil.
func (i *Identity) ReloadError() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failure
}

// State looks at the files and returns what is in use.
func (i *Identity) State() core.KeysState {
	m := i.latest()
	state := core.KeysState{CertificateUntil: m.certificate.Leaf.NotAfter, AuthorityUntil: m.until}
	if err := i.ReloadError(); err != nil {
		state.Problem = err.Error()
	}
	return state
}

// Server returns the TLS settings of a listener that accepts only peers with
// a certificate of a trusted authority.
func (i *Identity) Server(protocol string) *tls.Config {
	base := i.serverConfig(protocol)
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return i.serverConfig(protocol), nil
	}
	return base
}

func (i *Identity) serverConfig(protocol string) *tls.Config {
	m := i.latest()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.authorities,
		NextProtos:             []string{protocol},
		SessionTicketsDisabled: true,
	}
}

// Client returns the TLS settings of one connection to the peer at host, an IP
// number that the peer's certificate must name.
func (i *Identity) Client(protocol, host string) *tls.Config {
	m := i.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   host,
		NextProtos:   []string{protocol},
	}
}

// latest returns the newest material, reading changed files without the lock.
func (i *Identity) latest() *material {
	i.mu.Lock()
	current := i.current
	i.mu.Unlock()
	marks, err := readMarks(i.files)
	if err == nil && marks == current.marks {
		i.record(current, nil)
		return current
	}
	loaded := current
	if err == nil {
		loaded, err = readMaterial(i.files, marks)
	}
	if err != nil {
		loaded = current
	}
	i.record(loaded, err)
	return loaded
}

func (i *Identity) record(m *material, failure error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = m
	i.failure = failure
}

func readMarks(files Files) (marks [fileCount]fileMark, err error) {
	for at, path := range files.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return marks, errkind.Wrap(errkind.BadRequest, err, "read %s", path)
		}
		marks[at] = fileMark{info.ModTime(), info.Size()}
	}
	return marks, nil
}

func readMaterial(files Files, marks [fileCount]fileMark) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "load %s", files.Certificate)
	}
	authorities, err := readAuthorities(files.Authority)
	if err != nil {
		return nil, err
	}
	loaded := &material{
		marks: marks, certificate: certificate, authorities: x509.NewCertPool(),
		until: authorities[0].NotAfter, vm: core.VMID(certificate.Leaf.Subject.CommonName),
	}
	for _, authority := range authorities {
		loaded.authorities.AddCert(authority)
		if authority.NotAfter.Before(loaded.until) {
			loaded.until = authority.NotAfter
		}
	}
	return loaded, nil
}
