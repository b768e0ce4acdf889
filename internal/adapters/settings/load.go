package settings

import (
	"os"
	"path/filepath"

	"fescuespar/internal/adapters/stricttoml"
	"fescuespar/internal/errkind"
)

// FileReader returns the content of a file that the settings name.
type FileReader func(path string) ([]byte, error)

// Load reads a settings file and the token files that it names. Relative paths
// in it start at its own directory. Errors: NotFound when the file cannot be
// read, InvalidConfig with all mistakes, one a line.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotFound, err, "read settings")
	}
	settings, problems := Read(path, body, os.ReadFile)
	if len(problems) > 0 {
		return nil, errkind.New(errkind.InvalidConfig, "settings are not valid:\n%s", stricttoml.Join(problems))
	}
	return settings, nil
}

// Read reads settings from the content of a file with that path. It returns
// every mistake.
func Read(path string, body []byte, readFile FileReader) (*Settings, []stricttoml.Problem) {
	file := stricttoml.Parse(path, body)
	s := Defaults()
	l := &loader{file: file, dir: filepath.Dir(path), readFile: readFile}
	l.settings(file.Root(), &s)
	l.consistency(&s)
	return &s, file.Problems()
}

// loader reads the parts of a settings file.
type loader struct {
	file     *stricttoml.File
	dir      string
	readFile FileReader
}

func (l *loader) settings(r *stricttoml.Reader, s *Settings) {
	stricttoml.String(r, "vm", &s.VM, stricttoml.Required)
	stricttoml.String(r, "availability_zone", &s.Zone, stricttoml.Required)
	stricttoml.String(r, "region", &s.Region, stricttoml.Required)
	stricttoml.OneOf(r, "log_level", &s.LogLevel, stricttoml.Optional, LogDebug, LogInfo, LogWarn, LogError)
	l.endpoints(r.Table("listen", stricttoml.Required), "listen", &s.Listen, stricttoml.Required)
	l.endpoints(r.Section("advertise"), "advertise", &s.Advertise, stricttoml.Optional)
	l.peers(r.Table("peers", stricttoml.Required), s)
	l.platform(r.Table("platform", stricttoml.Required), &s.Platform)
	s.Tokens = l.tokens(r.Tables("tokens", stricttoml.Required))
	readWorkers(r.Section("workers"), &s.Workers)
	readLanes(r.Section("lanes"), &s.Lanes)
	readIntervals(r.Section("intervals"), &s.Intervals)
	readBodies(r.Section("body_limits"), &s.Bodies)
	r.Finish()
}

func (l *loader) endpoints(r *stricttoml.Reader, key string, e *Endpoints, presence stricttoml.Presence) {
	stricttoml.String(r, "callers", &e.Callers, presence)
	stricttoml.String(r, "peers", &e.Peers, presence)
	r.Finish()
	l.address(key+".callers", e.Callers)
	l.address(key+".peers", e.Peers)
}

func (l *loader) peers(r *stricttoml.Reader, s *Settings) {
	stricttoml.Strings(r, "seeds", &s.Seeds, stricttoml.Optional)
	l.path(r, "authority", &s.TLS.Authority)
	l.path(r, "certificate", &s.TLS.Certificate)
	l.path(r, "key", &s.TLS.Key)
	r.Finish()
	for i, seed := range s.Seeds {
		l.remoteAddress(seedKey(i), seed)
	}
}

// path reads the name of a file, which must be readable.
func (l *loader) path(r *stricttoml.Reader, name string, target *string) {
	stricttoml.String(r, name, target, stricttoml.Required)
	if *target == "" {
		return
	}
	*target = l.resolve(*target)
	if _, err := l.readFile(*target); err != nil {
		l.file.Report("peers."+name, err.Error(), "a PEM file that can be read")
	}
}

func (l *loader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.dir, path)
}

func (l *loader) platform(r *stricttoml.Reader, p *Platform) {
	stricttoml.String(r, "table", &p.Table, stricttoml.Required)
	stricttoml.String(r, "objects", &p.Objects, stricttoml.Required)
	stricttoml.String(r, "vm_list", &p.VMList, stricttoml.Required)
	r.Finish()
	l.baseURL("platform.table", p.Table)
	l.baseURL("platform.objects", p.Objects)
	l.baseURL("platform.vm_list", p.VMList)
}
