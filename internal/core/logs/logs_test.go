package logs

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

// line returns a line logged by a VM the given number of seconds after start.
func line(second float64, vm, message string, fields map[string]any) Line {
	at := start.Add(time.Duration(second * float64(time.Second)))
	return Line{Time: at, VM: vm, Message: message, Fields: fields, Bytes: 100}
}

func TestTimelineByFieldAndValue(t *testing.T) {
	b := NewTimelineBuilder("version=17", 0)
	b.Add(line(1, "entry-1", RoutesInForce, map[string]any{"version": 17.0}))
	b.Add(line(2, "entry-1", RoutesInForce, map[string]any{"version": 18.0}))
	b.Add(line(0, "entry-2", VersionLoaded, map[string]any{"version": 17.0, "server": "i-1"}))
	b.AddDamaged()
	timeline := b.Timeline()
	if len(timeline.Lines) != 2 || timeline.Lines[0].VM != "entry-2" || timeline.Read != 4 || timeline.Damaged != 1 {
		t.Errorf("timeline %+v", timeline)
	}
}

// TestTimelineIncludesContextOfItsVM has a failed attempt and state changes logged
// earlier by the same VM about the same server, about another server, outside the
// context window, and by another VM.
func TestTimelineIncludesContextOfItsVM(t *testing.T) {
	b := NewTimelineBuilder("r-7", 10*time.Second)
	b.Add(line(0, "entry-1", ServerRestored, map[string]any{"server": "i-1"})) // outside the context window
	b.Add(line(15, "entry-1", ServerEjected, map[string]any{"server": "i-1"}))
	b.Add(line(16, "entry-1", ServerEjected, map[string]any{"server": "i-2"}))
	b.Add(line(17, "entry-2", ServerEjected, map[string]any{"server": "i-1"}))
	b.Add(line(18, "entry-1", PlatformUnavailable, map[string]any{"what": "servers"}))
	b.Add(line(20, "entry-1", AttemptFailed, map[string]any{"request": "r-7", "server": "i-1"}))
	b.Add(line(21, "entry-1", PlatformAvailable, map[string]any{"what": "servers"})) // after the attempt
	timeline := b.Timeline()
	if len(timeline.Lines) != 3 {
		t.Fatalf("%d lines, want 3: %+v", len(timeline.Lines), timeline.Lines)
	}
	for i, want := range []string{ServerEjected, PlatformUnavailable, AttemptFailed} {
		if timeline.Lines[i].Message != want || timeline.Lines[i].Context != (want != AttemptFailed) {
			t.Errorf("line %d: %+v, want %s", i, timeline.Lines[i], want)
		}
	}
}

func TestReport(t *testing.T) {
	b := NewReportBuilder()
	b.Add(line(3, "entry-1", RequestEnded, map[string]any{"request": "a"}))
	b.Add(line(1, "entry-2", RequestEnded, map[string]any{"request": "b", "error": "fescuespar.no_server: none, cause: x.y"}))
	b.Add(line(1, "entry-2", RequestRefused, map[string]any{"request": "b", "error": "fescuespar.no_server: none"}))
	b.Add(line(1, "entry-1", RequestRefused, map[string]any{"request": "b", "error": "fescuespar.starting: no routes"}))
	b.Add(line(1.5, "entry-2", LinesDropped, map[string]any{"dropped": 40.0}))
	b.Add(line(2, "entry-2", JobOpened, map[string]any{"job": "j", "items": 3.0}))
	b.Add(line(0, "entry-1", JobSubmitted, map[string]any{"job": "j", "items": 3.0}))
	b.Add(line(4, "entry-2", JobOpened, map[string]any{"job": "j", "items": 3.0}))
	for _, second := range []float64{9, 5, 7} {
		b.Add(line(second, "entry-2", ResultListed, map[string]any{"job": "j"}))
		b.Add(line(second, "entry-2", RunEnded, map[string]any{"job": "j"}))
	}
	b.Add(line(1, "entry-1", JobSubmitted, map[string]any{"job": "refused", "items": 3.0, "error": "fescuespar.starting: wait"}))
	b.Add(line(8, "entry-1", VersionNamed, map[string]any{"model": "m", "version": 4.0}))
	b.AddDamaged()

	report := b.Report()
	if report.Outcomes[Served] != 1 || report.Outcomes["no_server"] != 1 || report.Outcomes["starting"] != 1 || len(report.Ended) != 3 {
		t.Errorf("outcomes %v, %+v", report.Outcomes, report.Ended)
	}
	want := Volume{VMs: 2, Lines: 16, Bytes: 1600, Damaged: 1, Dropped: 40, Requests: 6,
		LinesPerRequest: 16.0 / 6, BytesPerRequest: 1600.0 / 6, BusiestSecond: 3}
	if report.Volume != want {
		t.Errorf("volume %+v, want %+v", report.Volume, want)
	}
	if !report.From.Equal(start) || !report.To.Equal(start.Add(9*time.Second)) {
		t.Errorf("from %v to %v", report.From, report.To)
	}
	seconds := func(at time.Time) float64 { return at.Sub(start).Seconds() }
	job := report.Jobs[len(report.Jobs)-1]
	if job.ID != "j" || job.Items != 3 || job.Results != 3 || seconds(job.Opened) != 2 || seconds(job.Half) != 7 || seconds(job.Last) != 9 {
		t.Errorf("job %+v", job)
	}
	if len(report.Jobs) != 1 {
		t.Errorf("%d jobs, want 1 without the refused submission", len(report.Jobs))
	}
	if len(report.Changes) != 1 || report.Changes[0].Subject != "m" || report.Changes[0].Version != 4 {
		t.Errorf("changes %+v", report.Changes)
	}
}
