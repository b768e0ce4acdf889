package process

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// readmePorts are the ports in the README and in the settings it uses.
var readmePorts = []string{"7000", "7101", "7201"}

// Range of ports below the ephemeral range. Systems do not assign these to
// connections or to listeners on port 0, so a free port stays free until the test
// uses it.
const (
	minPort   = 12000
	portCount = 16000
)

// freePorts returns count ports that nothing listens on.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var ports []string
	for attempts := 0; len(ports) < count; attempts++ {
		port := strconv.Itoa(minPort + rand.IntN(portCount))
		listener, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			if attempts > portCount {
				t.Fatal(err)
			}
			continue
		}
		defer listener.Close()
		ports = append(ports, port)
	}
	return ports
}

// copyWithReplacements copies a directory and applies the replacer to its files.
func copyWithReplacements(t *testing.T, from, to string, replacer *strings.Replacer) {
	t.Helper()
	err := filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(filepath.Join(to, relative), 0o700)
		}
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, relative), []byte(replacer.Replace(string(body))), 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// readmeRunner runs the commands of the README in its own directory.
type readmeRunner struct {
	t         *testing.T
	ctx       context.Context
	directory string
}

// startInBackground starts a command that keeps running and waits until its output
// contains ready.
func (r readmeRunner) startInBackground(command, ready string) {
	r.t.Helper()
	output := filepath.Join(r.t.TempDir(), "output")
	file, err := os.Create(output)
	if err != nil {
		r.t.Fatal(err)
	}
	defer file.Close()
	process := exec.CommandContext(r.ctx, "sh", "-c", "exec "+command)
	process.Dir, process.Stdout, process.Stderr = r.directory, file, file
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	for r.ctx.Err() == nil {
		if body, _ := os.ReadFile(output); strings.Contains(string(body), ready) {
			return
		}
		sleep(50 * time.Millisecond)
	}
	body, _ := os.ReadFile(output)
	r.t.Fatalf("%s: did not print %q: %s", command, ready, body)
}

// runToEnd runs a command until it exits and expects want in its output.
func (r readmeRunner) runToEnd(command, want string) {
	r.t.Helper()
	process := exec.CommandContext(r.ctx, "sh", "-c", command)
	process.Dir = r.directory
	output, err := process.CombinedOutput()
	if err != nil || !strings.Contains(string(output), want) {
		r.t.Errorf("%s: %v, want %q in %s", command, err, want, output)
	}
}

var shellWord = regexp.MustCompile(`'[^']*'|\S+`)

// requestLikeCurl sends the request of a documented curl command, so that the test
// does not need curl. It supports a URL, -N, -H and -d.
func (r readmeRunner) requestLikeCurl(command, want string) {
	r.t.Helper()
	method, url, body := http.MethodGet, "", ""
	header := http.Header{}
	words := shellWord.FindAllString(command, -1)[1:]
	for at := 0; at < len(words); at++ {
		next := ""
		if at+1 < len(words) {
			next = strings.Trim(words[at+1], "'")
		}
		switch word := words[at]; word {
		case "-N":
		case "-H":
			name, value, _ := strings.Cut(next, ": ")
			header.Set(name, value)
			at++
		case "-d":
			method, body = http.MethodPost, next
			at++
		default:
			url = word
		}
	}
	request, err := http.NewRequestWithContext(r.ctx, method, url, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	request.Header = header
	response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
	if err != nil {
		r.t.Fatalf("%s: %v", command, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(answer), want) {
		r.t.Errorf("%s: %v, status %d, want %q in %s", command, err, response.StatusCode, want, answer)
	}
}

// expectedOutputs maps the prefix of each README command that exits to a text in
// its output.
var expectedOutputs = []struct{ command, want string }{
	{"bin/fescuespar keys authority", "wrote authority.pem"},
	{"bin/fescuespar keys issue", "wrote certificate.pem"},
	{"bin/fescuespar check", "no mistakes in 2 files"},
	{"bin/fescuespar publish", "in force on all 1 live processes"},
	{"curl -H", "{}"},
	{"curl -N", "data: [DONE]"},
	{"curl http", `"key":"s-1","run":1`},
	{"bin/fescuespar status", "generation 1 in force"},
	{"bin/fescuespar dump", `"generation":1`},
}

// TestReadmeRuns runs the commands of the README in order, as written. Only the
// ports are replaced by free ones, and `go build` by the binaries built for the
// tests.
func TestReadmeRuns(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := readmeRunner{t, ctx, t.TempDir()}
	var ports []string
	for number, free := range freePorts(t, len(readmePorts)) {
		ports = append(ports, ":"+readmePorts[number], ":"+free)
	}
	replacer := strings.NewReplacer(ports...)
	copyWithReplacements(t, "../../examples", filepath.Join(r.directory, "examples"), replacer)
	if err := os.Symlink(binaries, filepath.Join(r.directory, "bin")); err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, documented := range documentedCommands(t, "../../README.md", "A site by hand") {
		command := replacer.Replace(documented)
		switch {
		case strings.HasPrefix(command, "go build"):
		case strings.HasSuffix(command, " &") && strings.Contains(command, "fescuespar entry"):
			r.startInBackground(strings.TrimSuffix(command, " &"), `"message":"serving"`)
		case strings.HasSuffix(command, " &"):
			r.startInBackground(strings.TrimSuffix(command, " &"), "listening ")
		case strings.HasPrefix(command, "curl "):
			r.requestLikeCurl(command, expectedOutput(t, command))
			checked++
		default:
			r.runToEnd(command, expectedOutput(t, command))
			checked++
		}
	}
	if checked != len(expectedOutputs) {
		t.Errorf("%d commands were checked, want %d", checked, len(expectedOutputs))
	}
}

func expectedOutput(t *testing.T, command string) string {
	t.Helper()
	for _, expected := range expectedOutputs {
		if strings.HasPrefix(command, expected.command) {
			return expected.want
		}
	}
	t.Errorf("no expected output for command %q", command)
	return ""
}
