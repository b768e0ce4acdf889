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

// root is the repository's root as seen from this package.
const root = "../.."

var (
	blockCommand  = regexp.MustCompile(`(?m)^ {4,}(?:bin/)?fescuespar (.*?)(?: &)?$`)
	inlineCommand = regexp.MustCompile("`(?:bin/)?(?:fescuespar )?([a-z]+ [^`\n]+)`")
	inlineNames   = []string{"entry", "check", "publish", "status", "dump", "addresses", "keys", "version"}
)

// parsePrinted parses a command as the program does, without running it.
func parsePrinted(t *testing.T, words []string) error {
	t.Helper()
	t.Setenv("FESCUESPAR_TOKEN", "")
	parser := flags.NewParser(&struct{}{}, flags.None)
	for _, c := range registered {
		if _, err := parser.AddCommand(c.name, c.short, longDescription(c), c.data); err != nil {
			t.Fatal(err)
		}
	}
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	_, err := parser.ParseArgs(words)
	return err
}

// pages returns all pages of the repository by path.
func pages(t *testing.T) map[string]string {
	t.Helper()
	found := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md", "examples/*/*.toml"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			body, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			found[path] = string(body)
		}
	}
	return found
}

// TestPrintedCommandsExist parses every command that a page or a command's own
// help prints. Those in the text of a page may leave out what is required.
func TestPrintedCommandsExist(t *testing.T) {
	blocks := 0
	for path, body := range pages(t) {
		for _, match := range blockCommand.FindAllStringSubmatch(body, -1) {
			blocks++
			if err := parsePrinted(t, strings.Fields(match[1])); err != nil {
				t.Errorf("%s: %s: %v", path, match[0], err)
			}
			checkFolders(t, path, strings.Fields(match[1]))
		}
		for _, match := range inlineCommand.FindAllStringSubmatch(body, -1) {
			words := strings.Fields(match[1])
			if !slices.Contains(inlineNames, words[0]) {
				continue
			}
			var wrong *flags.Error
			if err := parsePrinted(t, words); errors.As(err, &wrong) && !missing(wrong) {
				t.Errorf("%s: %s: %v", path, match[0], err)
			}
		}
	}
	if blocks < 10 {
		t.Errorf("only %d commands were found", blocks)
	}
	for _, c := range registered {
		_, example, _ := strings.Cut(longDescription(c), "Example: fescuespar ")
		example, _, _ = strings.Cut(example, "\n")
		if err := parsePrinted(t, strings.Fields(example)); err != nil {
			t.Errorf("help of %s: %s: %v", c.name, example, err)
		}
	}
}

// missing reports whether an error says that something was left out: a required
// option or argument, or an option's value.
func missing(err *flags.Error) bool {
	return err.Type == flags.ErrRequired || err.Type == flags.ErrExpectedArgument || err.Type == flags.ErrCommandRequired
}

// checkFolders looks for the example folders and files that a command names.
func checkFolders(t *testing.T, path string, words []string) {
	t.Helper()
	for _, word := range words {
		if !strings.HasPrefix(word, "examples/") {
			continue
		}
		if _, err := os.Stat(filepath.Join(root, word)); err != nil {
			t.Errorf("%s names %s: %v", path, word, err)
		}
	}
}
