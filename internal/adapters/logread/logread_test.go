package logread

import (
	"strings"
	"testing"
)

const one = `   3.5 entry-1 {"level":"info","vm":"entry-1","request":"r-7","attempt":1,"server":"i-3","why":"cut","time":"2026-12-04T10:00:02.5Z","message":"attempt failed"}
not a line of a log
{"level":"info","vm":"entry-1","request":"r-8","time":"2026-12-04T10:00:02Z","message":"request ended"}
{"level":"info","vm":"entry-1","request":"r-7","sta
`

const two = `{"level":"warn","vm":"entry-2","request":"r-7","status":503,"time":"2026-12-04T10:00:01Z","message":"refused or failed"}
`

func TestAStoryIsToldInTheOrderOfTimeAcrossVMs(t *testing.T) {
	reader := New("r-7")
	for _, log := range []string{one, two} {
		if err := reader.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	story := reader.Story()
	if len(story.Lines) != 2 || story.Lines[0].VM != "entry-2" || story.Lines[1].Message != "attempt failed" {
		t.Fatalf("story %+v", story.Lines)
	}
	if story.Read != 5 || story.Damaged != 2 {
		t.Errorf("read %d, damaged %d; want 5 and 2", story.Read, story.Damaged)
	}
	var text strings.Builder
	story.Write(&text)
	for _, want := range []string{"10:00:01.000  entry-2", "server=i-3 why=cut", "2 of 5 lines name r-7; 2 lines are damaged"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}
