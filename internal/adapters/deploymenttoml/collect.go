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
	// FileName is the name of an operators' file that needs no other.
	FileName = "deployment.toml"
	// FileSuffix ends the names of operators' files that stand side by side.
	FileSuffix = ".fescuespar.toml"

	maxFileBytes = 1 << 20
)

// Collection is what a walk over operators' files found.
type Collection struct {
	Files       []string // paths, in the order of the walk
	Deployments []core.Deployment
	Problems    []stricttoml.Problem
}

// Collect reads every operators' file below a directory, hidden directories
// left out, and validates them together. Mistakes are in the Collection.
// Errors: NotFound when the directory or a file cannot be read.
func Collect(dir string) (*Collection, error) {
	paths, err := find(dir)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotFound, err, "read operators' files")
	}
	var sources []source
	for _, path := range paths {
		s, err := readSource(path)
		if err != nil {
			return nil, errkind.Wrap(errkind.NotFound, err, "read operators' files")
		}
		sources = append(sources, s)
	}
	return assemble(dir, sources), nil
}

// source is one operators' file as read.
type source struct {
	deployment core.Deployment
	file       *stricttoml.File
}

func readSource(path string) (source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return source{}, err
	}
	if info.Size() > maxFileBytes {
		file := stricttoml.Parse(path, nil)
		file.Report("", strconv.FormatInt(info.Size(), 10)+" bytes", fmt.Sprintf("at most %d bytes", maxFileBytes))
		return source{file: file}, nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return source{}, err
	}
	deployment, file := ReadFile(path, body)
	return source{deployment, file}, nil
}

func find(dir string) ([]string, error) {
	var paths []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && path != dir
		if entry.IsDir() && hidden {
			return filepath.SkipDir
		}
		named := entry.Name() == FileName || strings.HasSuffix(entry.Name(), FileSuffix)
		if named && !entry.IsDir() {
			paths = append(paths, path)
		}
		return nil
	})
	return paths, err
}

func assemble(dir string, sources []source) *Collection {
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

// reportValidation adds the core's problems to the files that cause them. It
// leaves out those that rest on a field which could not be read.
func reportValidation(sources []source, problems []configuration.Problem) {
	kept := slices.DeleteFunc(problems, func(p configuration.Problem) bool {
		return unreadable(sources, p.Place) || slices.ContainsFunc(p.Others, func(other configuration.Place) bool {
			return unreadable(sources, other)
		})
	})
	for _, p := range kept {
		sources[p.Index].file.Report(string(p.Field), p.Found, p.Allowed+references(sources, p.Others))
	}
}

func unreadable(sources []source, place configuration.Place) bool {
	return sources[place.Index].file.Unreadable(string(place.Field))
}

// references names the files and lines of further fields.
func references(sources []source, places []configuration.Place) string {
	text := ""
	for _, place := range places {
		file := sources[place.Index].file
		text += fmt.Sprintf(" (see %s at %s:%d)", place.Field, file.Name(), file.Line(string(place.Field)))
	}
	return text
}
