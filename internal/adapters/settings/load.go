package settings

import (
	"os"
	"path/filepath"

	"fescuespar/internal/adapters/stricttoml"
	"fescuespar/internal/errkind"
)

// FileReader returns the content of a file that the settings refer to.
type FileReader func(path string) ([]byte, error)

// Load reads a settings file and the token files that it refers to. Relative
// paths in it are relative to its own directory. Errors: NotFound when the file
// cannot be read, InvalidConfig with all mistakes, one per line.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.NotFound, err, "read settings")
	}
	settings, problems := Read(path, body, os.ReadFile)
	if len(problems) > 0 {
		return nil, errkind.New(errkind.InvalidConfig, "invalid settings:\n%s", stricttoml.Join(problems))
	}
	return settings, nil
}

// Read parses and checks the content of the settings file at path. It returns the
// settings and all mistakes found.
func Read(path string, body []byte, readFile FileReader) (*Settings, []stricttoml.Problem) {
	file := stricttoml.Parse(path, body)
	s := Defaults()
	l := &loader{file: file, dir: filepath.Dir(path), readFile: readFile}
	l.readSettings(file.Root(), &s)
	l.checkConsistency(&s)
	return &s, file.Problems()
}

// loader reads the tables of a settings file and checks their values.
type loader struct {
	file     *stricttoml.File
	dir      string
	readFile FileReader
}

func (l *loader) readSettings(r *stricttoml.Reader, s *Settings) {
	stricttoml.String(r, "vm", &s.VM, stricttoml.Required)
	stricttoml.String(r, "availability_zone", &s.Zone, stricttoml.Required)
	stricttoml.String(r, "region", &s.Region, stricttoml.Required)
	stricttoml.OneOf(r, "log_level", &s.LogLevel, stricttoml.Optional, LogDebug, LogInfo, LogWarn, LogError)
	l.readEndpoints(r.Table("listen", stricttoml.Required), "listen", &s.Listen, stricttoml.Required)
	l.readEndpoints(r.Section("advertise"), "advertise", &s.Advertise, stricttoml.Optional)
	l.readPeers(r.Table("peers", stricttoml.Required), s)
	l.readPlatform(r.Table("platform", stricttoml.Required), &s.Platform)
	s.Tokens = l.readTokens(r.Tables("tokens", stricttoml.Required))
	readWorkers(r.Section("workers"), &s.Workers)
	readLanes(r.Section("lanes"), &s.Lanes)
	readIntervals(r.Section("intervals"), &s.Intervals)
	readBodyLimits(r.Section("body_limits"), &s.BodyLimits)
	r.Finish()
}

func (l *loader) readEndpoints(r *stricttoml.Reader, key string, e *Endpoints, presence stricttoml.Presence) {
	stricttoml.String(r, "callers", &e.Callers, presence)
	stricttoml.String(r, "peers", &e.Peers, presence)
	r.Finish()
	l.checkAddress(key+".callers", e.Callers)
	l.checkAddress(key+".peers", e.Peers)
}

func (l *loader) readPeers(r *stricttoml.Reader, s *Settings) {
	stricttoml.Strings(r, "seeds", &s.Seeds, stricttoml.Optional)
	l.readPath(r, "authority", &s.TLS.Authority)
	l.readPath(r, "certificate", &s.TLS.Certificate)
	l.readPath(r, "key", &s.TLS.Key)
	r.Finish()
	for i, seed := range s.Seeds {
		l.checkRemoteAddress(seedKey(i), seed)
	}
}

// readPath reads the path of a file and checks that the file can be read.
func (l *loader) readPath(r *stricttoml.Reader, name string, target *string) {
	stricttoml.String(r, name, target, stricttoml.Required)
	if *target == "" {
		return
	}
	*target = l.resolve(*target)
	if _, err := l.readFile(*target); err != nil {
		l.file.Report("peers."+name, err.Error(), "a PEM file that can be read")
	}
}

// resolve returns a path relative to the directory of the settings file.
func (l *loader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.dir, path)
}

func (l *loader) readPlatform(r *stricttoml.Reader, p *Platform) {
	stricttoml.String(r, "table", &p.Table, stricttoml.Required)
	stricttoml.String(r, "objects", &p.Objects, stricttoml.Required)
	stricttoml.String(r, "vm_list", &p.VMList, stricttoml.Required)
	r.Finish()
	l.checkBaseURL("platform.table", p.Table)
	l.checkBaseURL("platform.objects", p.Objects)
	l.checkBaseURL("platform.vm_list", p.VMList)
}
