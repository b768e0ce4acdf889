package keys

import (
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
