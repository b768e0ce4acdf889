package configuration

import (
	"reflect"
	"strings"
	"testing"

	"fescuespar/internal/core"
	"fescuespar/internal/errkind"
)

func headAt(generation core.Generation, operator string, attempt core.AttemptID) core.Row {
	if generation == 0 {
		return core.Row{Key: HeadKey}
	}
	record := core.ConfigRecord{Generation: generation, Parent: generation - 1, Operator: operator}
	return core.Row{Key: HeadKey, Version: core.RowVersion(generation) + 5, Attempt: attempt, Record: record}
}

func TestPlanPublishRequiresHeadAsParent(t *testing.T) {
	tests := []struct {
		name       string
		head, base core.Generation
		conflict   string
	}{
		{"first", 0, 0, ""},
		{"follows the head", 7, 7, ""},
		{"base too old", 8, 7, `generation 8 by operator "rival"`},
		{"base never accepted", 7, 9, "never accepted"},
		{"history is bounded", RetainedGenerations + 3, RetainedGenerations + 3, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			head := headAt(test.head, "rival", "theirs")
			commit, err := PlanPublish(head, Next(test.base, "vera", nil), "ours")
			if test.conflict != "" {
				if !errkind.Is(err, errkind.GenerationConflict) || !strings.Contains(err.Error(), test.conflict) {
					t.Fatalf("error %v, want a conflict that contains %q", err, test.conflict)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			checkCommit(t, commit, head, test.base)
		})
	}
}

func checkCommit(t *testing.T, commit core.Commit, head core.Row, base core.Generation) {
	t.Helper()
	if want := []core.Condition{{Key: HeadKey, Version: head.Version}}; !reflect.DeepEqual(commit.Conditions, want) {
		t.Errorf("conditions %v, want %v", commit.Conditions, want)
	}
	record := core.ConfigRecord{Generation: base + 1, Parent: base, Operator: "vera", Body: BodyKey(base+1, "ours")}
	writes := []core.Write{{Key: HeadKey, Record: record}, {Key: GenerationKey(base + 1), Record: record}}
	if base >= RetainedGenerations {
		writes = append(writes, core.Write{Key: GenerationKey(base + 1 - RetainedGenerations)})
	}
	if !reflect.DeepEqual(commit.Writes, writes) {
		t.Errorf("writes %v, want %v", commit.Writes, writes)
	}
}

// TestResolvePublishAfterLostReply covers the states in which the table can be after
// a lost reply.
func TestResolvePublishAfterLostReply(t *testing.T) {
	row := func(generation core.Generation, attempt core.AttemptID) core.Row {
		r := headAt(generation, "rival", attempt)
		r.Key = GenerationKey(generation)
		return r
	}
	tests := []struct {
		name      string
		head, own core.Row
		want      PublishOutcome
		kind      errkind.Kind
	}{
		{"no effect yet", headAt(7, "rival", "theirs"), core.Row{}, PublishPending, ""},
		{"took effect", headAt(8, "vera", "ours"), row(8, "ours"), PublishApplied, ""},
		{"took effect, newer generations exist", headAt(11, "rival", "theirs"), row(8, "ours"), PublishApplied, ""},
		{"another attempt was accepted", headAt(8, "rival", "theirs"), row(8, "theirs"), PublishPending, errkind.GenerationConflict},
		{"generation row deleted", headAt(8+RetainedGenerations, "rival", "theirs"), core.Row{}, PublishPending, errkind.OutcomeUnknown},
	}
	for _, test := range tests {
		got, err := ResolvePublish(test.head, test.own, Next(7, "vera", nil), "ours")
		if got != test.want || (err != nil) != (test.kind != "") || err != nil && !errkind.Is(err, test.kind) {
			t.Errorf("%s: outcome %v, %v, want %v, %q", test.name, got, err, test.want, test.kind)
		}
	}
}

func TestNewerAcceptsOnlyLaterGenerations(t *testing.T) {
	if IsNewer(5, 4) || IsNewer(5, 5) || !IsNewer(5, 6) {
		t.Error("Newer must accept only later generations")
	}
}

// TestDiffReportsEveryField changes each field of a deployment in turn.
func TestDiffReportsEveryField(t *testing.T) {
	base := engineDeployment("model")
	base.Rollout.GroupSize = 2
	base.NonIdempotent = []core.CallPattern{{Method: "POST", PathPrefix: "/a"}}
	var visit func(v reflect.Value, path string, check func(path string))
	visit = func(v reflect.Value, path string, check func(path string)) {
		switch v.Kind() {
		case reflect.Pointer:
			visit(v.Elem(), path, check)
		case reflect.Slice:
			visit(v.Index(0), path, check)
		case reflect.Struct:
			for i := range v.NumField() {
				visit(v.Field(i), path+"."+v.Type().Field(i).Name, check)
			}
		default:
			saved := reflect.ValueOf(v.Interface())
			modify(v)
			check(path)
			v.Set(saved)
		}
	}
	changed := base
	rollout := *base.Rollout
	changed.Rollout = &rollout
	changed.Callers = append([]core.CallerName(nil), base.Callers...)
	changed.NonIdempotent = append([]core.CallPattern(nil), base.NonIdempotent...)
	visit(reflect.ValueOf(&changed), "", func(path string) {
		want := 1
		if path == ".Name" {
			want = 2 // one removed, one added
		}
		if got := Diff([]core.Deployment{base}, []core.Deployment{changed}); len(got) != want {
			t.Errorf("changes reported for a change of %s: %v, want %d", path, got, want)
		}
	})
}

// modify changes the value to a different one.
func modify(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Float64:
		v.SetFloat(v.Float() + 0.25)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	default:
		v.SetInt(v.Int() + 1)
	}
}
