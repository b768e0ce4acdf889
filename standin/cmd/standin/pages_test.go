package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

var documentedCommand = regexp.MustCompile(`(?m)^ {4,}bin/standin (.*?)(?: &)?$`)

// TestDocumentedCommandsParse parses every standin command line that appears
// in the documentation.
func TestDocumentedCommandsParse(t *testing.T) {
	const root = "../../.."
	found := 0
	for _, pattern := range []string{"*.md", "docs/*.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			body, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range documentedCommand.FindAllStringSubmatch(string(body), -1) {
				found++
				parser := flags.NewParser(&struct{}{}, flags.None)
				for _, c := range commands {
					if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
						t.Fatal(err)
					}
				}
				parser.CommandHandler = func(flags.Commander, []string) error { return nil }
				if _, err := parser.ParseArgs(strings.Fields(match[1])); err != nil {
					t.Errorf("%s: %s: %v", path, match[0], err)
				}
			}
		}
	}
	if found == 0 {
		t.Error("found no standin command in the documentation")
	}
}
