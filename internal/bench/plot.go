package bench

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// figure is a plot of one metric over the load.
type figure struct {
	name  string
	label string
	value func(r Row) float64
}

var figures = []figure{
	{"preemptions", "preemptions per 1,000 requests", func(r Row) float64 { return r.Preemptions }},
	{"stall", "stall time p99, ms", func(r Row) float64 { return r.StallP99 }},
	{"gap", "time between tokens p99, ms", func(r Row) float64 { return r.GapP99 }},
	{"goodput", "goodput, tokens/s", func(r Row) float64 { return r.Goodput }},
}

// plottedContenders are the contenders with a line in each figure. All fixed caps share the line
// "cap".
var plottedContenders = []string{"admit-all", "cap", "reserve", "oracle", "sparshore"}

// plotAll writes each figure of each plotted trace into dir as a PNG file.
func plotAll(dir string, rows []Row) error {
	for _, trace := range []string{bedtime().name, picking().name} {
		for _, f := range figures {
			if err := f.savePlot(filepath.Join(dir, "decision-"+trace+"-"+f.name+".png"), trace, rows); err != nil {
				return fmt.Errorf("plot %s of %s: %w", f.name, trace, err)
			}
		}
	}
	return nil
}

func (f figure) savePlot(file, trace string, rows []Row) error {
	p := plot.New()
	p.Title.Text = trace
	p.X.Label.Text = "load, part of capacity"
	p.Y.Label.Text = f.label
	p.Y.Min = 0
	var lines []any
	for _, name := range plottedContenders {
		lines = append(lines, name, f.points(trace, name, rows))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}

func (f figure) points(trace, contender string, rows []Row) plotter.XYs {
	var out plotter.XYs
	for _, r := range rows {
		name := r.Contender
		if len(name) > 4 && name[:4] == "cap-" {
			name = "cap"
		}
		if r.Trace == trace && r.Fault == "" && name == contender {
			out = append(out, plotter.XY{X: r.Load, Y: f.value(r)})
		}
	}
	return out
}
