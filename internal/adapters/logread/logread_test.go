package logread

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

const entry1Log = `   3.5 entry-1 {"level":"info","vm":"entry-1","request":"r-7","attempt":1,"server":"i-3","why":"cut","time":"2026-12-04T10:00:02.5Z","message":"attempt failed"}
not a line of a log
{"level":"info","vm":"entry-1","request":"r-8","time":"2026-12-04T10:00:02Z","message":"request ended"}
{"level":"info","vm":"entry-1","request":"r-7","sta
`

const entry2Log = `{"level":"warn","vm":"entry-2","request":"r-7","status":503,"time":"2026-12-04T10:00:01Z","message":"refused or failed"}
`

func TestLinesOfSeveralVMsAreOrderedByTime(t *testing.T) {
	builder := logs.NewTimelineBuilder("r-7", 0)
	for _, log := range []string{entry1Log, entry2Log} {
		if err := Read(strings.NewReader(log), builder); err != nil {
			t.Fatal(err)
		}
	}
	timeline := builder.Timeline()
	if len(timeline.Lines) != 2 || timeline.Lines[0].VM != "entry-2" || timeline.Lines[1].Message != "attempt failed" {
		t.Fatalf("timeline %+v", timeline.Lines)
	}
	if timeline.Read != 5 || timeline.Damaged != 2 {
		t.Errorf("read %d, damaged %d; want 5 and 2", timeline.Read, timeline.Damaged)
	}
}

func TestReadDirectoryWithProgress(t *testing.T) {
	directory := t.TempDir()
	for name, log := range map[string]string{"a/entry-1.log": entry1Log, "entry-2.log": entry2Log} {
		path := filepath.Join(directory, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(log), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	names, bytes, err := Files(directory)
	if err != nil || len(names) != 2 || bytes != int64(len(entry1Log)+len(entry2Log)) || bytes != Size(names) {
		t.Fatalf("files %v, %d bytes, %v", names, bytes, err)
	}
	builder := logs.NewReportBuilder()
	var progress counter
	for _, name := range names {
		if err := ReadFile(name, builder, &progress); err != nil {
			t.Fatal(err)
		}
	}
	volume := builder.Report().Volume
	if volume.Lines != 3 || volume.Damaged != 2 || volume.VMs != 2 || int64(progress) != bytes {
		t.Errorf("volume %+v, progress %d of %d bytes", volume, progress, bytes)
	}
	if _, _, err := Files(filepath.Join(directory, "none")); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("files of a missing directory: error %v, want %s", err, errkind.BadRequest)
	}
	if err := ReadFile(filepath.Join(directory, "none"), builder, io.Discard); !errkind.Is(err, errkind.BadRequest) {
		t.Errorf("read of a missing file: error %v, want %s", err, errkind.BadRequest)
	}
}

// counter counts the bytes written to it.
type counter int64

func (c *counter) Write(bytes []byte) (int, error) {
	*c += counter(len(bytes))
	return len(bytes), nil
}
