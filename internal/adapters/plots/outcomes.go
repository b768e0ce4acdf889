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

// drawOutcomes draws the number of requests that ended in each interval, stacked
// by outcome with served requests at the bottom.
func drawOutcomes(report *logs.Report, p *plot.Plot) error {
	p.Title.Text = "Requests by outcome"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	width := p.X.Max / bucketCount
	p.X.Max = bucketCount
	p.X.Tick.Marker = plot.ConstantTicks(newBucketTicks(width))
	var below *plotter.BarChart
	for style, outcome := range outcomeOrder(report) {
		bars, err := plotter.NewBarChart(countPerBucket(report, outcome, width), barWidth)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(style+1), 0 // skips the first color, red, so that served requests are not red
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

// barWidth leaves a narrow gap between bars.
const barWidth = chartWidth / (bucketCount * 5 / 4)

// tickBuckets is the number of bars between two labels of the time axis.
const tickBuckets = 10

// newBucketTicks returns the labels of the time axis, in seconds.
func newBucketTicks(width float64) (ticks []plot.Tick) {
	for bucket := 0; bucket <= bucketCount; bucket += tickBuckets {
		ticks = append(ticks, plot.Tick{Value: float64(bucket), Label: strconv.FormatFloat(float64(bucket)*width, 'f', 0, 64)})
	}
	return ticks
}

// outcomeOrder returns the outcomes in alphabetical order, but with served
// requests first.
func outcomeOrder(report *logs.Report) []string {
	names := slices.Sorted(maps.Keys(report.Outcomes))
	if at := slices.Index(names, logs.Served); at > 0 {
		names = slices.Insert(slices.Delete(names, at, at+1), 0, logs.Served)
	}
	return names
}

// countPerBucket counts the requests with an outcome in each bucket; width is in
// seconds.
func countPerBucket(report *logs.Report, outcome string, width float64) plotter.Values {
	counts := make(plotter.Values, bucketCount)
	for _, ended := range report.Ended {
		if ended.Outcome == outcome {
			bucket := int(ended.Time.Sub(report.From).Seconds() / width)
			counts[min(bucket, bucketCount-1)]++
		}
	}
	return counts
}
