package plots

import (
	"maps"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"fescuespar/internal/core/logs"
)

// outcomes draws the requests that ended in each part of the time, stacked by
// outcome, served ones at the bottom.
func outcomes(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "Requests by outcome"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	width := p.X.Max / buckets
	p.X.Max = buckets
	p.X.Tick.Marker = plot.ConstantTicks(bucketTicks(width))
	var below *plotter.BarChart
	for style, outcome := range outcomeOrder(report) {
		bars, err := plotter.NewBarChart(perBucket(report, outcome, width), barWidth)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(style+1), 0 // the first is red, which served requests are not
		bars.XMin = 0.5
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(outcome, bars)
	}
	return nil
}

// barWidth lets bars nearly touch.
const barWidth = chartWidth / (buckets * 5 / 4)

// tickBuckets is the number of bars between two labels.
const tickBuckets = 10

// bucketTicks labels the bars with seconds.
func bucketTicks(width float64) (ticks []plot.Tick) {
	for bucket := 0; bucket <= buckets; bucket += tickBuckets {
		ticks = append(ticks, plot.Tick{Value: float64(bucket), Label: strconv.FormatFloat(float64(bucket)*width, 'f', 0, 64)})
	}
	return ticks
}

// outcomeOrder returns the outcomes, served requests first.
func outcomeOrder(report *logs.Report) []string {
	names := slices.Sorted(maps.Keys(report.Outcomes))
	if at := slices.Index(names, logs.Served); at > 0 {
		names = slices.Insert(slices.Delete(names, at, at+1), 0, logs.Served)
	}
	return names
}

// perBucket counts the requests with an outcome in each bucket of a width in
// seconds.
func perBucket(report *logs.Report, outcome string, width float64) plotter.Values {
	counts := make(plotter.Values, buckets)
	for _, ended := range report.Ended {
		if ended.Outcome == outcome {
			at := int(ended.Time.Sub(report.From).Seconds() / width)
			counts[min(at, buckets-1)]++
		}
	}
	return counts
}
