package plots

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"fescuespar/internal/core/logs"
)

// drawWaitingTimes draws for each job, at the time of its submission, the time
// until it was opened, until half of its results were listed and until the last
// one was.
func drawWaitingTimes(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "Steps: seconds from submission to results"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	for style, stage := range []struct {
		name string
		at   func(*logs.Job) time.Time
	}{
		{"opened", func(j *logs.Job) time.Time { return j.Opened }},
		{"half of the results", func(j *logs.Job) time.Time { return j.Half }},
		{"last result", func(j *logs.Job) time.Time { return j.Last }},
	} {
		var points plotter.XYs
		for i := range report.Jobs {
			job := &report.Jobs[i]
			if at := stage.at(job); !at.IsZero() && !job.Submitted.IsZero() {
				points = append(points, plotter.XY{
					X: job.Submitted.Sub(report.From).Seconds(), Y: at.Sub(job.Submitted).Seconds(),
				})
			}
		}
		if err := addScatter(p, style, stage.name, points); err != nil {
			return err
		}
	}
	return nil
}
