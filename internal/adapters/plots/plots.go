// Package plots draws a report of logs as charts on one page.
package plots

import (
	"bytes"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"fescuespar/internal/core/logs"
	"fescuespar/internal/errkind"
)

// Size of a chart: four fit on a wide screen.
const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 3.5 * vg.Inch
)

// buckets is how many bars a chart over time has at most.
const buckets = 60

// legendRoom is the share of a chart's height that is left free for its legend.
const legendRoom = 0.3

// Chart is a drawn chart.
type Chart struct {
	Title string
	SVG   []byte
}

// Page writes a page with all charts of a report. Errors: Internal.
func Page(w io.Writer, report *logs.Report) error {
	charts, err := Charts(report)
	if err != nil {
		return err
	}
	err = page.Execute(w, struct {
		Report *logs.Report
		Charts []Chart
	}{report, charts})
	return errkind.Wrap(errkind.Internal, err, "write the page")
}

// Charts draws a report: requests by outcome, waiting for steps, versions and
// changes of beliefs, each over time. Errors: Internal.
func Charts(report *logs.Report) ([]Chart, error) {
	var charts []Chart
	for _, draw := range []func(*logs.Report, *plot.Plot) error{outcomes, waiting, versions, beliefs} {
		p := plot.New()
		p.X.Label.Text = "seconds after " + report.From.Format(time.RFC3339)
		p.X.Min, p.X.Max = 0, max(1, report.To.Sub(report.From).Seconds())
		p.Legend.Top = true
		p.Add(plotter.NewGrid())
		if err := draw(report, p); err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "draw %q", p.Title.Text)
		}
		p.Y.Max += legendRoom * (p.Y.Max - p.Y.Min)
		var svg bytes.Buffer
		drawn, err := p.WriterTo(chartWidth, chartHeight, "svg")
		if err == nil {
			_, err = drawn.WriteTo(&svg)
		}
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "draw %q", p.Title.Text)
		}
		charts = append(charts, Chart{Title: p.Title.Text, SVG: svg.Bytes()})
	}
	return charts, nil
}

// scatter adds points to a chart, under a name in the legend.
func scatter(p *plot.Plot, style int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	s.Color, s.Shape = plotutil.Color(style), plotutil.Shape(style)
	p.Add(s)
	if name != "" {
		p.Legend.Add(name, s)
	}
	return nil
}

// steps adds a line that keeps its value until the next point.
func steps(p *plot.Plot, style int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(style), plotutil.Dashes(style)
	line.StepStyle = plotter.PostStep
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"svg": func(svg []byte) template.HTML { // drawn here, with labels escaped by the library
		return template.HTML(svg[max(0, bytes.Index(svg, []byte("<svg"))):])
	},
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>fescuespar report</title>
<style>body{font-family:sans-serif;margin:2em}td,th{text-align:right;padding:0 1em}td:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
</head>
<body>
<h1>{{.Report.From.Format "2006-01-02 15:04:05"}} to {{.Report.To.Format "15:04:05"}}</h1>
<table>
<tr><td>VMs</td><td>{{.Report.Volume.VMs}}</td></tr>
<tr><td>lines, damaged, dropped</td><td>{{.Report.Volume.Lines}}, {{.Report.Volume.Damaged}}, {{.Report.Volume.Dropped}}</td></tr>
<tr><td>lines and bytes for each request</td><td>{{printf "%.2f, %.0f" .Report.Volume.LinesPerRequest .Report.Volume.BytesPerRequest}}</td></tr>
{{range $outcome, $count := .Report.Outcomes}}<tr><td>requests: {{$outcome}}</td><td>{{$count}}</td></tr>
{{end}}{{range $belief, $count := .Report.Beliefs}}<tr><td>{{$belief}}</td><td>{{$count}}</td></tr>
{{end}}</table>
{{range .Charts}}<h2>{{.Title}}</h2>
{{svg .SVG}}
{{end}}</body>
</html>
`))
