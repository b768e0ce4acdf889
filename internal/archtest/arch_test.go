// Package archtest checks that the imports follow the layout of the code, which is
// ports and adapters.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "fescuespar/"

// coreStdlib lists the packages of the standard library that internal/core may
// import.
var coreStdlib = map[string]bool{
	"cmp": true, "container/heap": true, "errors": true, "fmt": true, "hash/fnv": true,
	"hash/maphash": true, "iter": true, "maps": true, "math": true, "math/bits": true,
	"math/rand": true, "math/rand/v2": true, "slices": true, "sort": true, "strconv": true,
	"strings": true, "time": true, "unicode": true, "unicode/utf8": true,
}

// rule lists the packages of the module that a folder may import. If a subfolder
// has its own rule, only that rule applies to the subfolder.
type rule struct {
	folder  string
	allowed []string
}

var rules = []rule{
	{"internal/core", []string{"internal/core", "internal/errkind"}},
	{"internal/ports", []string{"internal/core"}},
	{"internal/ports/backendtest", []string{"internal/core", "internal/errkind", "internal/lockrank",
		"internal/ports"}},
	{"internal/ports/porttest", []string{"internal/core", "internal/errkind", "internal/lockrank",
		"internal/ports"}},
	{"internal/errkind", nil},
	{"internal/lockrank", nil},
	{"internal/workers", []string{"internal/core", "internal/errkind", "internal/lockrank"}},
	{"internal/tables", []string{"internal/core", "internal/errkind", "internal/lockrank"}},
	{"internal/app", []string{"internal/core", "internal/errkind", "internal/lockrank",
		"internal/ports", "internal/tables", "internal/workers", "internal/app", "internal/metrics"}},
	{"internal/adapters", []string{"internal/core", "internal/errkind", "internal/lockrank",
		"internal/ports", "internal/adapters"}},
	{"platform", []string{"internal/core", "internal/errkind", "internal/lockrank",
		"internal/ports", "internal/adapters", "platform"}},
}

type goFile struct {
	path    string
	imports []string
}

func readFiles(t *testing.T, root, folder string) []goFile {
	t.Helper()
	var files []goFile
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		file := goFile{path: path}
		for _, spec := range parsed.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			file.imports = append(file.imports, name)
		}
		files = append(files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func allows(r rule, name string) bool {
	for _, prefix := range r.allowed {
		if name == module+prefix || strings.HasPrefix(name, module+prefix+"/") {
			return true
		}
	}
	return false
}

// appliesTo reports whether no rule for a subfolder of r's folder covers the file.
func appliesTo(r rule, path string) bool {
	for _, other := range rules {
		isBelow := strings.HasPrefix(other.folder, r.folder+"/")
		if isBelow && strings.Contains(filepath.ToSlash(path), "/"+other.folder+"/") {
			return false
		}
	}
	return true
}

func violations(files []goFile, r rule) []string {
	var found []string
	for _, file := range files {
		if !appliesTo(r, file.path) {
			continue
		}
		for _, name := range file.imports {
			if strings.HasPrefix(name, module) && !allows(r, name) {
				found = append(found, file.path+" imports "+name)
			}
			if r.folder == "internal/core" && !strings.HasPrefix(name, module) && !coreStdlib[name] {
				found = append(found, file.path+" imports "+name)
			}
		}
	}
	return found
}

func TestImportsFollowTheLayout(t *testing.T) {
	for _, r := range rules {
		for _, message := range violations(readFiles(t, "../..", r.folder), r) {
			t.Error(message)
		}
	}
}

// ownTransportNames are names of net/http that make requests over a transport which may
// send a request twice.
var ownTransportNames = map[string]bool{
	"Client": true, "Transport": true, "DefaultClient": true, "DefaultTransport": true,
	"Get": true, "Head": true, "Post": true, "PostForm": true,
}

// clientsOutsideSendonce returns the uses of these names, except for a transport that is
// passed on to sendonce and for the type of a field, variable or parameter.
func clientsOutsideSendonce(t *testing.T, name string, content any) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), name, content, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	allowed := make(map[ast.Node]bool)
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.CallExpr:
			if isSelector(node.Fun, "sendonce", map[string]bool{"New": true, "NewRepeatingReads": true}) {
				ast.Inspect(node.Args[0], func(below ast.Node) bool { allowed[below] = true; return true })
			}
		case *ast.StarExpr:
			allowed[node.X] = true
		case *ast.SelectorExpr:
			if isSelector(node, "http", ownTransportNames) && !allowed[node] {
				found = append(found, name+" uses http."+node.Sel.Name)
			}
		}
		return true
	})
	return found
}

func isSelector(node ast.Node, qualifier string, names map[string]bool) bool {
	selector, ok := node.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	base, ok := selector.X.(*ast.Ident)
	return ok && base.Name == qualifier && names[selector.Sel.Name]
}

// TestClientsSendOnce guards against a client whose library sends a request twice.
func TestClientsSendOnce(t *testing.T) {
	for _, folder := range []string{"internal", "cmd", "platform", "standin", "bench"} {
		for _, file := range readFiles(t, "../..", folder) {
			if strings.Contains(filepath.ToSlash(file.path), "internal/adapters/sendonce/") {
				continue
			}
			for _, message := range clientsOutsideSendonce(t, file.path, nil) {
				t.Error(message)
			}
		}
	}
	const sample = "package p\nvar a, b = sendonce.New(&http.Transport{}), &http.Client{}\nvar c *http.Client"
	if got := clientsOutsideSendonce(t, "sample.go", sample); len(got) != 1 {
		t.Errorf("found %v in the sample, want the composite literal of the client", got)
	}
}

// TestResponsesAreChecked guards against a client that reads responses from a connection of
// its own without the checks of sendonce's connections.
func TestResponsesAreChecked(t *testing.T) {
	checked := 0
	for _, folder := range []string{"internal", "cmd", "platform"} {
		for _, file := range readFiles(t, "../..", folder) {
			content, err := os.ReadFile(file.path)
			if err != nil {
				t.Fatal(err)
			}
			reads, checks := strings.Count(string(content), "http.ReadResponse("), strings.Count(string(content), "http.ReadResponse(bufio.NewReader(responsecheck.NewReader(")
			if reads != checks {
				t.Errorf("%s reads %d responses, %d of them through responsecheck", file.path, reads, checks)
			}
			checked += checks
		}
	}
	if checked == 0 {
		t.Error("found no response that is read through responsecheck")
	}
}

// isTestOnly reports whether a path belongs to the fakes, the contract suites or the
// code that starts processes for tests.
func isTestOnly(path string) bool {
	return strings.Contains(path, "internal/ports/porttest") || strings.Contains(path, "internal/ports/backendtest") ||
		strings.Contains(path, "platform/standin") || strings.Contains(path, processTestFolder)
}

// processTestFolder holds the code that starts processes for tests.
const processTestFolder = "platform/processtest"

func TestProductStartsNoProcessAndNeedsNoStandin(t *testing.T) {
	for _, folder := range []string{"internal", "cmd/fescuespar", "platform"} {
		for _, file := range readFiles(t, "../..", folder) {
			for _, name := range file.imports {
				importsFake := isTestOnly(name) && !isTestOnly(file.path)
				startsProcess := name == "os/exec" && !strings.Contains(file.path, processTestFolder)
				if startsProcess || strings.HasPrefix(name, module+"standin") || importsFake {
					t.Errorf("%s imports %s", file.path, name)
				}
			}
		}
	}
}

// platformNames are names that only the protocol of the users' platform uses. They
// are decoded in platform/ and must not occur elsewhere.
var platformNames = []string{
	"Attempt-Id", "Server-Stamp", "Expect-Instance", "Not-Executed", "Weight-Versions", "Token-Count",
	"Prompt-Prefix", "Deadline-Ms", "rows-tx", "rows-get", "rows-feed", "blob-put", "ScorerUri", "TrafficSplit",
	"TargetLatencyMs", "ResultDeadlineMs", "ColdRemainingMs", "DesiredCount", "FESCUESPAR_CONFIG", "/api/lots", "Api-Key", "ApiKeys",
	"Tenants", "AuthExempt",
	"Duty-Holder", "Fencing-Token", "WindowNo", "NowMs",
}

// filesOutsidePlatform returns the Go files that must not contain the platform's
// names.
func filesOutsidePlatform(t *testing.T) []goFile {
	t.Helper()
	var files []goFile
	for _, folder := range []string{"internal", "cmd", "standin", "bench"} {
		files = append(files, readFiles(t, "../..", folder)...)
	}
	return files
}

func TestOnlyMainImportsPlatform(t *testing.T) {
	for _, file := range filesOutsidePlatform(t) {
		if strings.Contains(filepath.ToSlash(file.path), "/cmd/fescuespar/") {
			continue
		}
		for _, name := range file.imports {
			if strings.HasPrefix(name, module+"platform") {
				t.Errorf("%s imports %s", file.path, name)
			}
		}
	}
}

func TestOnlyPlatformUsesPlatformNames(t *testing.T) {
	for _, file := range filesOutsidePlatform(t) {
		content, err := os.ReadFile(file.path)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range namesIn(string(content)) {
			t.Errorf("%s contains the platform name %q", file.path, name)
		}
	}
	if got := namesIn(`header.Get("Attempt-Id")`); len(got) != 1 {
		t.Error("the name Attempt-Id was not found in the sample")
	}
}

func namesIn(content string) []string {
	var found []string
	for _, name := range platformNames {
		if strings.Contains(content, name) {
			found = append(found, name)
		}
	}
	return found
}

func TestRulesRejectForbiddenImports(t *testing.T) {
	files := []goFile{{"x.go", []string{"encoding/json", module + "internal/adapters/tablehttp", "time"}}}
	if got := violations(files, rules[0]); len(got) != 2 {
		t.Errorf("violations = %v, want encoding/json and the adapter", got)
	}
}
