package deploymenttoml

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"fescuespar/internal/adapters/stricttoml"
	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/errkind"
)

const (
	// FileName is the name of the only operators' file in a directory.
	FileName = "deployment.toml"
	// FileSuffix is the suffix of the names of operators' files that share a
	// directory.
	FileSuffix = ".fescuespar.toml"

	maxFileBytes = 1 << 20
)

// Collection holds the operators' files found below a directory and their
// contents.
type Collection struct {
	Files       []string // paths, in lexical order
	Deployments []core.Deployment
	Problems    []stricttoml.Problem
}

// Collect reads every operators' file below a directory, except in hidden
// directories, and validates them together. Mistakes are returned in the
// Collection. Errors: NotFound when the directory or a file cannot be read.
func Collect(dir string) (*Collection, error) {
	paths, err := findFiles(dir)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotFound, err, "read operators' files")
	}
	var sources []parsedFile
	for _, path := range paths {
		s, err := readParsedFile(path)
		if err != nil {
			return nil, errkind.Wrap(errkind.NotFound, err, "read operators' files")
		}
		sources = append(sources, s)
	}
	return newCollection(dir, sources), nil
}

// parsedFile is one parsed operators' file.
type parsedFile struct {
	deployment core.Deployment
	file       *stricttoml.File
}

func readParsedFile(path string) (parsedFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return parsedFile{}, err
	}
	if info.Size() > maxFileBytes {
		file := stricttoml.Parse(path, nil)
		file.Report("", strconv.FormatInt(info.Size(), 10)+" bytes", fmt.Sprintf("at most %d bytes", maxFileBytes))
		return parsedFile{file: file}, nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return parsedFile{}, err
	}
	deployment, file := ReadFile(path, body)
	return parsedFile{deployment, file}, nil
}

func findFiles(dir string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && path != dir
		if entry.IsDir() && hidden {
			return filepath.SkipDir
		}
		isOperatorsFile := entry.Name() == FileName || strings.HasSuffix(entry.Name(), FileSuffix)
		if isOperatorsFile && !entry.IsDir() {
			paths = append(paths, path)
		}
		return nil
	})
	return paths, err
}

func newCollection(dir string, sources []parsedFile) *Collection {
	c := &Collection{}
	if len(sources) == 0 {
		c.Problems = append(c.Problems, stricttoml.Problem{File: dir, Line: 1,
			Found: "no operators' file", Allowed: "at least one named " + FileName + " or *" + FileSuffix})
	}
	for _, s := range sources {
		c.Files = append(c.Files, s.file.Name())
		c.Deployments = append(c.Deployments, s.deployment)
	}
	reportValidation(sources, configuration.Validate(c.Deployments))
	for _, s := range sources {
		c.Problems = append(c.Problems, s.file.Problems()...)
	}
	stricttoml.Sort(c.Problems)
	return c
}

// reportValidation adds the problems found by configuration.Validate to the files
// that cause them. It omits those that depend on a field that could not be read.
func reportValidation(sources []parsedFile, problems []configuration.Problem) {
	reportable := slices.DeleteFunc(problems, func(p configuration.Problem) bool {
		return isUnreadable(sources, p.Place) || slices.ContainsFunc(p.Others, func(other configuration.Place) bool {
			return isUnreadable(sources, other)
		})
	})
	for _, p := range reportable {
		sources[p.Index].file.Report(string(p.Field), p.Found, p.Allowed+references(sources, p.Others))
	}
}

func isUnreadable(sources []parsedFile, place configuration.Place) bool {
	return sources[place.Index].file.Unreadable(string(place.Field))
}

// references returns a text with the files and lines of other fields involved.
func references(sources []parsedFile, places []configuration.Place) string {
	text := ""
	for _, place := range places {
		file := sources[place.Index].file
		text += fmt.Sprintf(" (see %s at %s:%d)", place.Field, file.Name(), file.Line(string(place.Field)))
	}
	return text
}
