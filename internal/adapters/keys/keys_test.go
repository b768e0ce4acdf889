package keys

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func issue(t *testing.T, authority, directory string, vm core.VMID) {
	t.Helper()
	request := IssueRequest{Authority: authority, VM: vm, Addresses: loopback, Lifetime: time.Hour, Directory: directory}
	if err := Issue(request, time.Now()); err != nil {
		t.Fatal(err)
	}
}

func newAuthority(t *testing.T) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), "authority")
	if err := CreateAuthority(directory, "site", time.Now()); err != nil {
		t.Fatal(err)
	}
	return directory
}

func TestFilesArePrivateAndAuthorityIsNotReplaced(t *testing.T) {
	authority := newAuthority(t)
	directory := t.TempDir()
	issue(t, authority, directory, "entry-1")
	for _, path := range []string{
		filepath.Join(authority, AuthorityFile), filepath.Join(authority, AuthorityKeyFile),
		filepath.Join(directory, CertificateFile), filepath.Join(directory, KeyFile), filepath.Join(directory, AuthorityFile),
	} {
		info, err := os.Stat(path)
		if err != nil || info.Mode().Perm() != fileMode {
			t.Errorf("%s: %v, %v", path, info, err)
		}
	}
	if err := CreateAuthority(authority, "site", time.Now()); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("CreateAuthority in the directory of an authority: %v, want bad_request", err)
	}
}

func TestIncompleteRequestsAreRefused(t *testing.T) {
	authority := newAuthority(t)
	complete := IssueRequest{Authority: authority, VM: "entry-1", Addresses: loopback, Lifetime: time.Hour, Directory: t.TempDir()}
	cases := map[string]func(*IssueRequest){
		"no VM":        func(r *IssueRequest) { r.VM = "" },
		"no address":   func(r *IssueRequest) { r.Addresses = nil },
		"no lifetime":  func(r *IssueRequest) { r.Lifetime = 0 },
		"no authority": func(r *IssueRequest) { r.Authority = r.Directory },
	}
	for name, change := range cases {
		request := complete
		change(&request)
		if err := Issue(request, time.Now()); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: %v, want bad_request", name, err)
		}
	}
}

func TestChangedFilesAreReloadedUnlessBroken(t *testing.T) {
	authority, directory := newAuthority(t), t.TempDir()
	issue(t, authority, directory, "entry-1")
	identity, err := Load(FilesInDirectory(directory))
	if err != nil {
		t.Fatal(err)
	}
	first := identity.buildServerConfig("test").Certificates[0].Leaf
	issue(t, authority, directory, "entry-1")
	second := identity.buildServerConfig("test").Certificates[0].Leaf
	if first.SerialNumber.Cmp(second.SerialNumber) == 0 {
		t.Error("new certificate is not in use")
	}
	if err := os.WriteFile(filepath.Join(directory, KeyFile), []byte("broken"), fileMode); err != nil {
		t.Fatal(err)
	}
	third := identity.buildServerConfig("test").Certificates[0].Leaf
	if second.SerialNumber.Cmp(third.SerialNumber) != 0 || identity.ReloadError() == nil {
		t.Error("broken key file replaced the valid key or was not reported")
	}
}

// handshakeSucceeds reports whether a client and a server accept each other.
func handshakeSucceeds(t *testing.T, client, server *Identity) bool {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	accepted := make(chan error, 1)
	go func() {
		connection := tls.Server(far, server.ServerConfig("test"))
		err := connection.Handshake()
		_ = far.Close()
		accepted <- err
	}()
	dialed := tls.Client(near, client.ClientConfig("test", "127.0.0.1")).Handshake()
	_ = near.Close()
	return dialed == nil && <-accepted == nil
}

// TestAuthorityIsReplacedWithoutDowntime replaces the authority of two VMs in
// steps. The VMs must accept each other after every step, and certificates of the
// old authority must be rejected at the end.
func TestAuthorityIsReplacedWithoutDowntime(t *testing.T) {
	older, newer := newAuthority(t), newAuthority(t)
	var identities [3]*Identity
	var directories [3]string // the last VM keeps the old authority
	for number := range directories {
		directories[number] = t.TempDir()
		issue(t, older, directories[number], core.VMID("entry"))
		loaded, err := Load(FilesInDirectory(directories[number]))
		if err != nil {
			t.Fatal(err)
		}
		identities[number] = loaded
	}
	trust := func(directory string, authorities ...string) {
		if err := SetTrustedAuthorities(directory, authorities); err != nil {
			t.Fatal(err)
		}
	}
	steps := []func(directory string){
		func(directory string) { trust(directory, older, newer) },
		func(directory string) { issue(t, newer, directory, "entry") },
		func(directory string) { trust(directory, newer) },
	}
	for number, step := range steps {
		for _, directory := range directories[:2] {
			step(directory)
			if !handshakeSucceeds(t, identities[0], identities[1]) || !handshakeSucceeds(t, identities[1], identities[0]) {
				t.Errorf("step %d at %s: handshake failed, state %+v", number+1, directory, identities[0].State())
			}
		}
	}
	if handshakeSucceeds(t, identities[2], identities[0]) || handshakeSucceeds(t, identities[0], identities[2]) {
		t.Error("certificate of the replaced authority is still accepted")
	}
}

func TestInvalidAuthorityFilesAreRefused(t *testing.T) {
	authority, directory := newAuthority(t), t.TempDir()
	issue(t, authority, directory, "entry-1")
	if err := SetTrustedAuthorities(directory, nil); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Trust without authorities: %v, want bad_request", err)
	}
	if err := SetTrustedAuthorities(directory, []string{directory, t.TempDir()}); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Trust of a directory without authority: %v, want bad_request", err)
	}
	key, err := os.ReadFile(filepath.Join(directory, KeyFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, AuthorityFile), key, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(FilesInDirectory(directory)); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("Load with a key among the authorities: %v, want bad_request", err)
	}
}
