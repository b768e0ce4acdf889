package stricttoml

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestScalarsAreStrict(t *testing.T) {
	tests := []struct {
		text  string
		valid bool
		read  func(r *Reader)
	}{
		{`k = 7`, true, readInteger},
		{`k = 0x7`, true, readInteger},
		{`k = 0`, false, readInteger},
		{`k = 10`, false, readInteger},
		{`k = -1`, false, readInteger},
		{`k = 7.0`, false, readInteger},
		{`k = "7"`, false, readInteger},
		{`k = 99999999999999999999`, false, readInteger},
		{`k = 07`, false, readInteger},
		{`k = +0_7`, false, readInteger},
		{`k = "1KiB"`, true, readSize},
		{`k = "1KB"`, false, readSize},
		{`k = "-1KiB"`, false, readSize},
		{`k = "1.5KiB"`, false, readSize},
		{`k = "9999999999999GiB"`, false, readSize},
		{`k = 1024`, false, readSize},
		{`k = "250ms"`, true, readDuration},
		{`k = "250"`, false, readDuration},
		{`k = "2h"`, false, readDuration},
		{`k = "-1s"`, false, readDuration},
		{`k = 1`, true, readFloat},
		{`k = inf`, false, readFloat},
		{`k = nan`, false, readFloat},
		{`k = ""`, false, readString},
		{`k = 1979-05-27`, false, readString},
	}
	for _, test := range tests {
		file := Parse("f.toml", []byte(test.text))
		r := file.Root()
		test.read(r)
		r.Finish()
		if valid := len(file.Problems()) == 0; valid != test.valid {
			t.Errorf("%s: problems %v, want valid %t", test.text, file.Problems(), test.valid)
		}
	}
}

func readInteger(r *Reader) {
	var n int
	Integer(r, "k", &n, Required, Range[int]{1, 9})
}

func readSize(r *Reader) {
	var n int64
	Size(r, "k", &n, Required, Range[int64]{1, 1 << 20})
}

func readDuration(r *Reader) {
	var d time.Duration
	Duration(r, "k", &d, Required, Range[time.Duration]{time.Millisecond, time.Hour})
}

func readFloat(r *Reader) {
	var n float64
	Float(r, "k", &n, Required, Range[float64]{0, 1})
}

func readString(r *Reader) {
	var s string
	String(r, "k", &s, Required)
}

func TestProblemsAfterSyntaxErrorsAreReported(t *testing.T) {
	const text = `a = 1
a = 2
t.x = 1
[t]
[t]
[[l]]
b 3
[l]
c = [
  1,
  "x"]
= 5
[a.b]
`
	file := Parse("f.toml", []byte(text))
	var got []string
	for _, p := range file.Problems() {
		got = append(got, fmt.Sprintf("%d %s", p.Line, p.Key))
	}
	want := []string{"2 a", "5 t", "7 ", "8 l", "12 ", "13 a.b"}
	if !slices.Equal(got, want) {
		t.Errorf("problems = %q, want %q", got, want)
	}
}

func TestProblemsDoNotShowSecrets(t *testing.T) {
	file := Parse("f.toml", []byte("token = [\"sesame\"]"))
	var token string
	Secret(file.Root(), "token", &token, Required)
	if text := Join(file.Problems()); text == "" || strings.Contains(text, "sesame") {
		t.Errorf("problems = %q, want one that does not contain the secret", text)
	}
}
