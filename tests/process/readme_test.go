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

// readmePorts are the ports that the README and its settings name.
var readmePorts = []string{"7000", "7101", "7201"}

// Ports below those that systems give to connections and to listeners that ask
// for any port: what is free among them stays free until it is used here.
const (
	firstPort = 12000
	portCount = 16000
)

// freePorts returns ports that nothing listens on.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var ports []string
	for tries := 0; len(ports) < count; tries++ {
		port := strconv.Itoa(firstPort + rand.IntN(portCount))
		listener, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err != nil {
			if tries > portCount {
				t.Fatal(err)
			}
			continue
		}
		defer listener.Close()
		ports = append(ports, port)
	}
	return ports
}

// copyReplaced copies a folder and replaces texts in its files.
func copyReplaced(t *testing.T, from, to string, replaced *strings.Replacer) {
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
		return os.WriteFile(filepath.Join(to, relative), []byte(replaced.Replace(string(body))), 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// readme runs the README's commands in a folder of its own.
type readme struct {
	t         *testing.T
	ctx       context.Context
	directory string
}

// background starts a command that goes on and waits until its output holds a text.
func (r readme) background(command, ready string) {
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
		pause(50 * time.Millisecond)
	}
	body, _ := os.ReadFile(output)
	r.t.Fatalf("%s: never printed %q: %s", command, ready, body)
}

// run runs a command to its end and wants a text in its output.
func (r readme) run(command, want string) {
	r.t.Helper()
	process := exec.CommandContext(r.ctx, "sh", "-c", command)
	process.Dir = r.directory
	output, err := process.CombinedOutput()
	if err != nil || !strings.Contains(string(output), want) {
		r.t.Errorf("%s: %v, want %q in %s", command, err, want, output)
	}
}

var shellWord = regexp.MustCompile(`'[^']*'|\S+`)

// curl does what a printed curl command does, so that the test needs no curl:
// a URL with -N, -H and -d.
func (r readme) curl(command, want string) {
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

// seen is what each command of the README that ends shows, by its start.
var seen = []struct{ command, want string }{
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

// TestReadmeRuns runs the commands of the README as printed, in their order.
// Only the ports are replaced by free ones, and `go build` by what is built.
func TestReadmeRuns(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := readme{t, ctx, t.TempDir()}
	var ports []string
	for number, free := range freePorts(t, len(readmePorts)) {
		ports = append(ports, ":"+readmePorts[number], ":"+free)
	}
	replaced := strings.NewReplacer(ports...)
	copyReplaced(t, "../../examples", filepath.Join(r.directory, "examples"), replaced)
	if err := os.Symlink(binaries, filepath.Join(r.directory, "bin")); err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, printed := range printed(t, "../../README.md", "A site by hand") {
		command := replaced.Replace(printed)
		switch {
		case strings.HasPrefix(command, "go build"):
		case strings.HasSuffix(command, " &") && strings.Contains(command, "fescuespar entry"):
			r.background(strings.TrimSuffix(command, " &"), `"message":"serving"`)
		case strings.HasSuffix(command, " &"):
			r.background(strings.TrimSuffix(command, " &"), "listening ")
		case strings.HasPrefix(command, "curl "):
			r.curl(command, wanted(t, command))
			checked++
		default:
			r.run(command, wanted(t, command))
			checked++
		}
	}
	if checked != len(seen) {
		t.Errorf("%d commands were checked, want %d", checked, len(seen))
	}
}

func wanted(t *testing.T, command string) string {
	t.Helper()
	for _, known := range seen {
		if strings.HasPrefix(command, known.command) {
			return known.want
		}
	}
	t.Errorf("nothing is known of %q", command)
	return ""
}
