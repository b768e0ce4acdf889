package plots

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"fescuespar/internal/core/logs"
)

// newReport returns a report with data for every chart.
func newReport() *logs.Report {
	b := logs.NewReportBuilder()
	add := func(second int, message string, fields map[string]any) {
		at := time.Date(2026, 12, 4, 10, 0, second, 0, time.UTC)
		b.Add(logs.Line{Time: at, VM: "entry-1", Message: message, Fields: fields, Bytes: 100})
	}
	add(0, logs.JobSubmitted, map[string]any{"job": "j", "items": 2.0})
	add(1, logs.JobOpened, map[string]any{"job": "j", "items": 2.0})
	add(4, logs.ResultListed, map[string]any{"job": "j"})
	add(9, logs.ResultListed, map[string]any{"job": "j"})
	add(2, logs.RequestEnded, map[string]any{"request": "r"})
	add(3, logs.RequestEnded, map[string]any{"request": "s", "error": "fescuespar.no_server: <none> & nowhere"})
	add(5, logs.VersionNamed, map[string]any{"model": "m<1>", "version": 4.0})
	add(6, logs.VersionLoaded, map[string]any{"server": "i-1", "version": 4.0})
	add(7, logs.ServerEjected, map[string]any{"server": "i-1"})
	return b.Report()
}

func TestChartsAreWellFormed(t *testing.T) {
	for name, report := range map[string]*logs.Report{"eventful": newReport(), "empty": logs.NewReportBuilder().Report()} {
		t.Run(name, func(t *testing.T) {
			charts, err := Charts(report)
			if err != nil || len(charts) != 4 {
				t.Fatalf("%d charts, %v", len(charts), err)
			}
			for _, chart := range charts {
				checkWellFormed(t, chart)
			}
		})
	}
}

func checkWellFormed(t *testing.T, chart Chart) {
	t.Helper()
	decoder := xml.NewDecoder(bytes.NewReader(chart.SVG))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("%s: %v", chart.Title, err)
		}
	}
}

func TestPageShowsLegendsAndFigures(t *testing.T) {
	var page strings.Builder
	if err := Page(&page, newReport()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Requests by outcome", "no_server", "newest of m&lt;1&gt;", "last result", logs.ServerEjected, "<td>requests: served</td><td>1</td>"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("page does not contain %q", want)
		}
	}
}
