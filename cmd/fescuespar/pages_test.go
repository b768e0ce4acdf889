package main

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// repositoryRoot is the root of the repository relative to this package.
const repositoryRoot = "../.."

var (
	blockCommand  = regexp.MustCompile(`(?m)^ {4,}(?:bin/)?fescuespar (.*?)(?: &)?$`)
	inlineCommand = regexp.MustCompile("`(?:bin/)?(?:fescuespar )?([a-z]+ [^`\n]+)`")
	inlineNames   = []string{"entry", "check", "publish", "status", "dump", "addresses", "keys", "version"}
)

// parseCommandLine parses a command line as the program does, without running the
// command.
func parseCommandLine(t *testing.T, words []string) error {
	t.Helper()
	t.Setenv("FESCUESPAR_TOKEN", "")
	parser := flags.NewParser(&struct{}{}, flags.None)
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, longDescription(c), c.data); err != nil {
			t.Fatal(err)
		}
	}
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	_, err := parser.ParseArgs(words)
	return err
}

// readPages returns the contents of all documentation pages and example files by
// path.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	contents := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md", "examples/*/*.toml"} {
		paths, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			body, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			contents[path] = string(body)
		}
	}
	return contents
}

// TestDocumentedCommandsParse parses every command line in the documentation and
// in the commands' help texts. Commands within a sentence may omit required
// arguments.
func TestDocumentedCommandsParse(t *testing.T) {
	blockCommands := 0
	for path, body := range readPages(t) {
		for _, match := range blockCommand.FindAllStringSubmatch(body, -1) {
			blockCommands++
			if err := parseCommandLine(t, strings.Fields(match[1])); err != nil {
				t.Errorf("%s: %s: %v", path, match[0], err)
			}
			checkExamplePaths(t, path, strings.Fields(match[1]))
		}
		for _, match := range inlineCommand.FindAllStringSubmatch(body, -1) {
			words := strings.Fields(match[1])
			if !slices.Contains(inlineNames, words[0]) {
				continue
			}
			var parseError *flags.Error
			if err := parseCommandLine(t, words); errors.As(err, &parseError) && !isIncomplete(parseError) {
				t.Errorf("%s: %s: %v", path, match[0], err)
			}
		}
	}
	if blockCommands < 10 {
		t.Errorf("found %d commands in indented blocks, want at least 10", blockCommands)
	}
	for _, c := range commands {
		_, example, _ := strings.Cut(longDescription(c), "Example: fescuespar ")
		example, _, _ = strings.Cut(example, "\n")
		if err := parseCommandLine(t, strings.Fields(example)); err != nil {
			t.Errorf("help of %s: %s: %v", c.name, example, err)
		}
	}
}

// isIncomplete reports whether the error is about a missing required option,
// argument, option value or subcommand.
func isIncomplete(err *flags.Error) bool {
	return err.Type == flags.ErrRequired || err.Type == flags.ErrExpectedArgument || err.Type == flags.ErrCommandRequired
}

// checkExamplePaths checks that the example folders and files in a command exist.
func checkExamplePaths(t *testing.T, path string, words []string) {
	t.Helper()
	for _, word := range words {
		if !strings.HasPrefix(word, "examples/") {
			continue
		}
		if _, err := os.Stat(filepath.Join(repositoryRoot, word)); err != nil {
			t.Errorf("%s names %s: %v", path, word, err)
		}
	}
}
