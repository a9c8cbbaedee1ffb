// Command requests simulates the request policies and draws the results as plots into a directory.
package main

import (
	"flag"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"tanagergrade/core/tgsimulation"
)

const (
	width          = vg.Length(450)
	height         = vg.Length(260)
	barWidth       = vg.Length(11)
	maxThroughput  = 11_000            // leaves room for the legend above the 7,776 tokens/s that 12 engines serve
	coldStartBound = 120 * time.Second // longest time that is simulated
)

func main() {
	dir := flag.String("dir", "docs/measurements", "directory of the plots")
	seed := flag.Uint64("seed", 1, "seed of the runs")
	flag.Parse()
	for name, draw := range map[string]func(uint64) (*plot.Plot, error){
		"requests-cold-start.svg": plotColdStart, "requests-data-centre.svg": plotWithdrawal,
		"requests-overload.svg": plotOverload, "requests-unhealthy.svg": plotUnhealthyEngine,
	} {
		p, err := draw(*seed)
		if err == nil {
			err = p.Save(width, height, filepath.Join(*dir, name))
		}
		if err != nil {
			logrus.WithError(err).WithField("plot", name).Fatal("could not draw or save plot")
		}
	}
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

// recordThroughput returns a callback that appends the tokens of the last second to points; call it every second.
func recordThroughput(points *plotter.XYs) func(*tgsimulation.Cluster) {
	last := 0
	return func(c *tgsimulation.Cluster) {
		*points = append(*points, plotter.XY{X: float64(len(*points)), Y: float64(c.Tokens - last)})
		last = c.Tokens
	}
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func plotWithdrawal(seed uint64) (*plot.Plot, error) {
	p := newPlot("A data centre of three leaves at 15 s and returns cold at 45 s, 95% load", "seconds", "tokens/s")
	p.Y.Max = maxThroughput
	for i, v := range tgsimulation.Variants {
		var points plotter.XYs
		tgsimulation.SimulateWithdrawal(v, 0.95, seed, recordThroughput(&points))
		if err := addLine(p, i, v.Name, points[:int(tgsimulation.WithdrawalEnd.Seconds())-15]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func plotColdStart(seed uint64) (*plot.Plot, error) {
	p := newPlot("All 12 engines start cold under full load", "seconds", "tokens/s")
	p.Y.Max = maxThroughput
	for i, v := range tgsimulation.Variants {
		var points plotter.XYs
		tgsimulation.SimulateColdStart(v, 12, coldStartBound, seed, recordThroughput(&points))
		if err := addLine(p, i, v.Name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addBars adds series i of n: one bar for each label.
func addBars(p *plot.Plot, i, n int, name string, values plotter.Values) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color, bars.Offset = plotutil.Color(i), barWidth*vg.Length(2*i-n+1)/2
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

func plotOverload(seed uint64) (*plot.Plot, error) {
	p := newPlot("Part of the work by account at twice the capacity", "", "part of the work")
	accounts := tgsimulation.OverloadAccounts
	configured := make(plotter.Values, len(accounts))
	labels := make([]string, len(accounts))
	for i, a := range accounts {
		configured[i], labels[i] = float64(a.Share)/100, a.Name
	}
	variants := tgsimulation.Variants[:3] // the others answer no requests at this load, or do not differ in shares
	if err := addBars(p, 0, len(variants)+1, "configured", configured); err != nil {
		return nil, err
	}
	for i, v := range variants {
		c, _ := tgsimulation.SimulateOverload(v, 2, seed)
		total := 0
		for _, n := range c.TokensByAccount {
			total += n
		}
		values := make(plotter.Values, len(accounts))
		for j, a := range accounts {
			values[j] = float64(c.TokensByAccount[a.Name]) / float64(total)
		}
		if err := addBars(p, i+1, len(variants)+1, v.Name, values); err != nil {
			return nil, err
		}
	}
	p.NominalX(labels...)
	return p, nil
}

func plotUnhealthyEngine(seed uint64) (*plot.Plot, error) {
	p := newPlot("p99 first token at the other engines over the healthy figure", "", "ratio, target 1.1")
	faults := []struct {
		name   string
		inject func(*tgsimulation.Cluster, string)
	}{{"slow", tgsimulation.FaultSlow}, {"stalled", tgsimulation.FaultStalled}, {"silent", tgsimulation.FaultSilent}}
	labels := make([]string, len(faults))
	for i, v := range tgsimulation.Variants {
		baseline := tgsimulation.SimulateUnhealthyEngine(v, seed, tgsimulation.FaultNone).Unaffected
		healthy := tgsimulation.Quantile(baseline.FirstTokenLatencies, 0.99)
		values := make(plotter.Values, len(faults))
		for j, h := range faults {
			labels[j] = h.name
			others := tgsimulation.SimulateUnhealthyEngine(v, seed, h.inject).Unaffected.FirstTokenLatencies
			values[j] = float64(tgsimulation.Quantile(others, 0.99)) / float64(healthy)
		}
		if err := addBars(p, i, len(tgsimulation.Variants), v.Name, values); err != nil {
			return nil, err
		}
	}
	p.NominalX(labels...)
	p.Y.Max = 2
	return p, nil
}
