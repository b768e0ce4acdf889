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
		t.Errorf("second authority: %v, want bad_request", err)
	}
}

func TestIncompleteRequestsAreRefused(t *testing.T) {
	authority := newAuthority(t)
	whole := IssueRequest{Authority: authority, VM: "entry-1", Addresses: loopback, Lifetime: time.Hour, Directory: t.TempDir()}
	cases := map[string]func(*IssueRequest){
		"no VM":        func(r *IssueRequest) { r.VM = "" },
		"no address":   func(r *IssueRequest) { r.Addresses = nil },
		"no lifetime":  func(r *IssueRequest) { r.Lifetime = 0 },
		"no authority": func(r *IssueRequest) { r.Authority = r.Directory },
	}
	for name, change := range cases {
		request := whole
		change(&request)
		if err := Issue(request, time.Now()); !errkind.Is(err, errkind.BadRequest) {
			t.Errorf("%s: %v, want bad_request", name, err)
		}
	}
}

func TestChangedFilesAreTakenUpAndBrokenOnesAreNot(t *testing.T) {
	authority, directory := newAuthority(t), t.TempDir()
	issue(t, authority, directory, "entry-1")
	identity, err := Load(InDirectory(directory))
	if err != nil {
		t.Fatal(err)
	}
	first := identity.serverConfig("test").Certificates[0].Leaf
	issue(t, authority, directory, "entry-1")
	second := identity.serverConfig("test").Certificates[0].Leaf
	if first.SerialNumber.Cmp(second.SerialNumber) == 0 {
		t.Error("the new certificate is not in use")
	}
	if err := os.WriteFile(filepath.Join(directory, KeyFile), []byte("broken"), fileMode); err != nil {
		t.Fatal(err)
	}
	third := identity.serverConfig("test").Certificates[0].Leaf
	if second.SerialNumber.Cmp(third.SerialNumber) != 0 || identity.ReloadError() == nil {
		t.Error("a broken key replaced the good one or went unreported")
	}
}

// shake reports whether two identities accept each other.
func shake(t *testing.T, client, server *Identity) bool {
	t.Helper()
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	accepted := make(chan error, 1)
	go func() {
		connection := tls.Server(far, server.Server("test"))
		err := connection.Handshake()
		_ = far.Close()
		accepted <- err
	}()
	dialed := tls.Client(near, client.Client("test", "127.0.0.1")).Handshake()
	_ = near.Close()
	return dialed == nil && <-accepted == nil
}

// TestAuthorityIsReplacedWithoutABreak replaces the authority of two VMs step by
// step: they accept each other after every step, and the old authority no
// longer counts at the end.
func TestAuthorityIsReplacedWithoutABreak(t *testing.T) {
	older, newer := newAuthority(t), newAuthority(t)
	var identities [3]*Identity
	var directories [3]string // the last one stays with the old authority
	for number := range directories {
		directories[number] = t.TempDir()
		issue(t, older, directories[number], core.VMID("entry"))
		loaded, err := Load(InDirectory(directories[number]))
		if err != nil {
			t.Fatal(err)
		}
		identities[number] = loaded
	}
	trust := func(directory string, authorities ...string) {
		if err := Trust(directory, authorities); err != nil {
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
			if !shake(t, identities[0], identities[1]) || !shake(t, identities[1], identities[0]) {
				t.Errorf("step %d at %s: no handshake, %+v", number+1, directory, identities[0].State())
			}
		}
	}
	if shake(t, identities[2], identities[0]) || shake(t, identities[0], identities[2]) {
		t.Error("a certificate of the replaced authority is still accepted")
	}
}

func TestTrustedAuthoritiesAreReadStrictly(t *testing.T) {
	authority, directory := newAuthority(t), t.TempDir()
	issue(t, authority, directory, "entry-1")
	if err := Trust(directory, nil); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("nothing to trust: %v, want bad_request", err)
	}
	if err := Trust(directory, []string{directory, t.TempDir()}); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("no authority: %v, want bad_request", err)
	}
	key, err := os.ReadFile(filepath.Join(directory, KeyFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, AuthorityFile), key, fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(InDirectory(directory)); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("a key among the authorities: %v, want bad_request", err)
	}
}
