package plots

import (
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"fescuespar/internal/core/logs"
)

// drawVersions draws the newest weight version announced for each model, the
// versions loaded by engines, and the version of the route table in force.
func drawVersions(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "Versions"
	p.Y.Label.Text = "version"
	newest := make(map[string]plotter.XYs)
	var loaded, routes plotter.XYs
	for _, change := range report.Changes {
		point := plotter.XY{X: change.Time.Sub(report.From).Seconds(), Y: change.Version}
		switch change.Message {
		case logs.VersionNamed:
			newest[change.Subject] = appendIncreasing(newest[change.Subject], point)
		case logs.VersionLoaded:
			loaded = append(loaded, point)
		case logs.RoutesInForce:
			routes = append(routes, point)
		}
	}
	style := 0
	for _, model := range slices.Sorted(maps.Keys(newest)) {
		last := newest[model][len(newest[model])-1]
		last.X = p.X.Max
		if err := addSteps(p, style, "newest of "+model, append(newest[model], last)); err != nil {
			return err
		}
		style++
	}
	if err := addScatter(p, style, "loaded by an engine", loaded); err != nil {
		return err
	}
	return addScatter(p, style+1, "routes in force at a process", routes)
}

// appendIncreasing appends a point if its version is larger than the last one.
// Otherwise a process has reported a version later than another process, and the
// point is left out.
func appendIncreasing(points plotter.XYs, point plotter.XY) plotter.XYs {
	if len(points) > 0 && points[len(points)-1].Y >= point.Y {
		return points
	}
	return append(points, point)
}

// drawChanges draws a mark for each change in a process's view of other processes
// and services, with one row per kind of change.
func drawChanges(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "Changes in the processes' view of the site"
	kinds := slices.Sorted(maps.Keys(report.StateChanges))
	for row, kind := range kinds {
		var points plotter.XYs
		for _, change := range report.Changes {
			if change.Message == kind {
				points = append(points, plotter.XY{X: change.Time.Sub(report.From).Seconds(), Y: float64(row)})
			}
		}
		if err := addScatter(p, row, "", points); err != nil {
			return err
		}
	}
	if len(kinds) > 0 {
		p.NominalY(kinds...)
	}
	return nil
}
