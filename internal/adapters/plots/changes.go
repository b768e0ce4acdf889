package plots

import (
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"fescuespar/internal/core/logs"
)

// versions draws the weight version that each model was named as newest, the
// loads of engines, and the version of the route table in force.
func versions(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "Versions"
	p.Y.Label.Text = "version"
	named := make(map[string]plotter.XYs)
	var loaded, routes plotter.XYs
	for _, change := range report.Changes {
		point := plotter.XY{X: change.Time.Sub(report.From).Seconds(), Y: change.Version}
		switch change.Message {
		case logs.VersionNamed:
			named[change.Subject] = grow(named[change.Subject], point)
		case logs.VersionLoaded:
			loaded = append(loaded, point)
		case logs.RoutesInForce:
			routes = append(routes, point)
		}
	}
	style := 0
	for _, model := range slices.Sorted(maps.Keys(named)) {
		last := named[model][len(named[model])-1]
		last.X = p.X.Max
		if err := steps(p, style, "newest of "+model, append(named[model], last)); err != nil {
			return err
		}
		style++
	}
	if err := scatter(p, style, "loaded by an engine", loaded); err != nil {
		return err
	}
	return scatter(p, style+1, "routes in force at a process", routes)
}

// grow appends a point unless a process named the version only later than others.
func grow(points plotter.XYs, point plotter.XY) plotter.XYs {
	if len(points) > 0 && points[len(points)-1].Y >= point.Y {
		return points
	}
	return append(points, point)
}

// beliefs draws a mark for each change of what a process believes, a row for
// each kind of change.
func beliefs(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "What processes believe: changes"
	kinds := slices.Sorted(maps.Keys(report.Beliefs))
	for row, kind := range kinds {
		var points plotter.XYs
		for _, change := range report.Changes {
			if change.Message == kind {
				points = append(points, plotter.XY{X: change.Time.Sub(report.From).Seconds(), Y: float64(row)})
			}
		}
		if err := scatter(p, row, "", points); err != nil {
			return err
		}
	}
	if len(kinds) > 0 {
		p.NominalY(kinds...)
	}
	return nil
}
