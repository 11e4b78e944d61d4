package experimenter

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"bramleyline.example/bramleyline/loadgenerator"
)

// window is the time that one point of a plot, or one number of the timeline, covers.
const window = 250 * time.Millisecond

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotAll draws the served and the failed requests and the 99th percentile over time, a line for each policy.
func plotAll(folder string, results []Result) error {
	for _, p := range []struct {
		file  string
		label string
		value func(loadgenerator.Summary) float64
	}{
		{"served.svg", "served requests/s", func(s loadgenerator.Summary) float64 {
			return float64(s.Served) / window.Seconds()
		}},
		{"failed.svg", "requests/s not served", func(s loadgenerator.Summary) float64 {
			return float64(s.Requests-s.Served) / window.Seconds()
		}},
		{"latency.svg", "p99 from the intended start (ms)", func(s loadgenerator.Summary) float64 {
			return toMillis(s.P99)
		}},
	} {
		if err := plotOne(filepath.Join(folder, p.file), p.label, p.value, results); err != nil {
			return err
		}
	}
	return nil
}

func plotOne(file, label string, value func(loadgenerator.Summary) float64, results []Result) error {
	p := plot.New()
	p.Title.Text = results[0].Options.Deployment + ", " + results[0].Options.Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	for i, r := range results {
		var points plotter.XYs
		for k, records := range windows(r) {
			points = append(points, plotter.XY{
				X: float64(k) * window.Seconds(),
				Y: value(loadgenerator.Summarize(records, "")),
			})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, file)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create the plot file")
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write the plot")
	}
	return errors.Wrap(f.Close(), "close the plot file")
}

// windows groups the records into windows by their intended start. It leaves out the last window, which the run does
// not fill.
func windows(r Result) [][]loadgenerator.Record {
	ws := make([][]loadgenerator.Record, int(r.Options.For/window)+1)
	for _, rec := range r.Records {
		k := int(rec.Intended.Sub(r.Start) / window)
		if k >= 0 && k < len(ws) {
			ws[k] = append(ws[k], rec)
		}
	}
	return ws[:max(1, len(ws)-1)]
}

func toMillis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
