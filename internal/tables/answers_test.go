package tables

import (
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func chunk(offset int, version core.WeightVersion, tokens string) core.Chunk {
	return core.Chunk{Offset: offset, Tokens: strings.Split(tokens, ""), Version: version}
}

// TestAppendKeepsAnswersWhole appends what late, repeated and crossed streams
// deliver to an answer that holds "abc" from attempt "1".
func TestAppendKeepsAnswersWhole(t *testing.T) {
	first, second := core.AnswerSource{Server: "s", Attempt: "1"}, core.AnswerSource{Server: "s", Attempt: "2"}
	cases := []struct {
		name   string
		source core.AnswerSource
		chunk  core.Chunk
		want   string
		kind   errkind.Kind
	}{
		{"next tokens", first, chunk(3, 1, "de"), "abcde", ""},
		{"tokens that overlap", first, chunk(1, 1, "bcd"), "abcd", ""},
		{"tokens that are all held", first, chunk(0, 1, "ab"), "abc", ""},
		{"gap", first, chunk(4, 1, "e"), "abc", errkind.AnswerIncomplete},
		{"another attempt", second, chunk(3, 1, "d"), "abc", errkind.Canceled},
	}
	for _, c := range cases {
		table := NewAnswers(1)
		key := AnswerKey{Caller: "x", ID: "r"}
		if _, err := table.Begin(key, 0); err != nil {
			t.Fatal(err)
		}
		if _, _, err := table.StartAttempt(key, first); err != nil {
			t.Fatal(err)
		}
		if err := table.Append(key, first, chunk(0, 1, "abc")); err != nil {
			t.Fatal(err)
		}
		err := table.Append(key, c.source, c.chunk)
		if c.kind == "" && err != nil || c.kind != "" && !errkind.Is(err, c.kind) {
			t.Errorf("%s: %v, want kind %q", c.name, err, c.kind)
		}
		view, err := table.Read(key, 0)
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(view.Chunks[0].Tokens, ""); got != c.want {
			t.Errorf("%s: holds %q, want %q", c.name, got, c.want)
		}
	}
}

// TestFinishNeedsEveryToken refuses an end mark that counts more tokens than
// arrived, and keeps the versions of a swap in mid-stream apart.
func TestFinishNeedsEveryToken(t *testing.T) {
	table := NewAnswers(1)
	key, source := AnswerKey{Caller: "x", ID: "r"}, core.AnswerSource{Attempt: "1"}
	_, _ = table.Begin(key, 0)
	_, _, _ = table.StartAttempt(key, source)
	_ = table.Append(key, source, chunk(0, 1, "ab"))
	_ = table.Append(key, source, chunk(2, 2, "c"))
	end := core.StreamEnd{Finish: core.FinishStop, Tokens: 4}
	if err := table.Finish(key, source, end, time.Time{}); !errkind.Is(err, errkind.AnswerIncomplete) {
		t.Errorf("end mark after 3 of 4 tokens: %v", err)
	}
	view, _ := table.Read(key, 1)
	if len(view.Chunks) != 2 || view.Chunks[0].Version != 1 || view.Chunks[1].Version != 2 || view.Chunks[1].Offset != 2 {
		t.Errorf("chunks %+v", view.Chunks)
	}
	if _, err := table.Begin(AnswerKey{Caller: "x", ID: "other"}, 0); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("answer beyond the limit: %v", err)
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	table := NewConfiguration()
	for _, c := range []struct {
		offered core.Generation
		applied bool
	}{{3, true}, {2, false}, {3, false}, {4, true}} {
		if got := table.Apply(&core.Configuration{Generation: c.offered}); got != c.applied {
			t.Errorf("generation %d applied: %v, want %v", c.offered, got, c.applied)
		}
	}
}

// TestLeaveLastsForOneAttempt marks an answer as leaving its source: the mark
// is gone with the next attempt, and an answer that has ended can't be marked.
func TestLeaveLastsForOneAttempt(t *testing.T) {
	table, key := NewAnswers(1), AnswerKey{Caller: "x", ID: "r"}
	left := func() bool { return table.Progress([]AnswerKey{key})[0].Left }
	attempt := func(name string) {
		t.Helper()
		if _, _, err := table.StartAttempt(key, core.AnswerSource{Server: "s", Attempt: name}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := table.Begin(key, 0); err != nil {
		t.Fatal(err)
	}
	attempt("1")
	if left() {
		t.Error("left before Leave")
	}
	if table.Leave(key); !left() {
		t.Error("not left after Leave")
	}
	if attempt("2"); left() {
		t.Error("the next attempt's source is left")
	}
	table.Fail(key, errkind.New(errkind.Canceled, "over"), time.Unix(1, 0))
	if table.Leave(key); left() {
		t.Error("an ended answer is left")
	}
}
