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

// TestAppendRejectsGapsAndOldAttempts appends the chunks of delayed, repeated
// and concurrent streams to an answer that holds "abc" from attempt "1".
func TestAppendRejectsGapsAndOldAttempts(t *testing.T) {
	first, second := core.AnswerSource{Server: "s", Attempt: "1"}, core.AnswerSource{Server: "s", Attempt: "2"}
	cases := []struct {
		name   string
		source core.AnswerSource
		chunk  core.Chunk
		want   string
		kind   errkind.Kind
	}{
		{"next tokens", first, chunk(3, 1, "de"), "abcde", ""},
		{"overlapping tokens", first, chunk(1, 1, "bcd"), "abcd", ""},
		{"tokens already received", first, chunk(0, 1, "ab"), "abc", ""},
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
			t.Errorf("%s: answer is %q, want %q", c.name, got, c.want)
		}
	}
}

// TestFinishRequiresAllTokens guards against an end mark that counts more
// tokens than arrived being accepted, and against one chunk mixing the weight
// versions before and after a swap in mid-stream.
func TestFinishRequiresAllTokens(t *testing.T) {
	table := NewAnswers(1)
	key, source := AnswerKey{Caller: "x", ID: "r"}, core.AnswerSource{Attempt: "1"}
	_, _ = table.Begin(key, 0)
	_, _, _ = table.StartAttempt(key, source)
	_ = table.Append(key, source, chunk(0, 1, "ab"))
	_ = table.Append(key, source, chunk(2, 2, "c"))
	end := core.StreamEnd{Finish: core.FinishStop, Tokens: 4}
	if err := table.Finish(key, source, end, time.Time{}); !errkind.Is(err, errkind.AnswerIncomplete) {
		t.Errorf("end mark after 3 of 4 tokens: %v, want kind %s", err, errkind.AnswerIncomplete)
	}
	view, _ := table.Read(key, 1)
	if len(view.Chunks) != 2 || view.Chunks[0].Version != 1 || view.Chunks[1].Version != 2 || view.Chunks[1].Offset != 2 {
		t.Errorf("chunks %+v, want one of version 1 and one of version 2 at offset 2", view.Chunks)
	}
	if _, err := table.Begin(AnswerKey{Caller: "x", ID: "other"}, 0); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("answer beyond the limit: %v, want kind %s", err, errkind.Overloaded)
	}
}

func TestConfigurationIgnoresOlderGenerations(t *testing.T) {
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

// TestNextAttemptClearsMigratingMark marks an answer as moving to another
// server: the next attempt clears the mark, and an ended answer cannot be marked.
func TestNextAttemptClearsMigratingMark(t *testing.T) {
	table, key := NewAnswers(1), AnswerKey{Caller: "x", ID: "r"}
	isMigrating := func() bool { return table.Progress([]AnswerKey{key})[0].Migrating }
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
	if isMigrating() {
		t.Error("answer is migrating before it was marked")
	}
	if table.MarkMigrating(key); !isMigrating() {
		t.Error("answer is not migrating after it was marked")
	}
	if attempt("2"); isMigrating() {
		t.Error("answer is still migrating after the next attempt started")
	}
	table.Fail(key, errkind.New(errkind.Canceled, "request canceled"), time.Unix(1, 0))
	if table.MarkMigrating(key); isMigrating() {
		t.Error("ended answer is migrating")
	}
}
