package main

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = vg.Length(560)
	height = vg.Length(280)
)

// draw writes two plots for each day into a directory: worth and skew over time, as means over the seeds.
func (c *comparison) draw(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, day := range c.days {
		name := strings.TrimSuffix(filepath.Base(day), ".toml")
		worth := func(r result) []sample {
			list := make([]sample, 0, len(r.Windows))
			for _, w := range r.Windows {
				if at, err := strconv.ParseFloat(w.Name, 64); err == nil {
					list = append(list, sample{at: at, value: w.Worth})
				}
			}
			return list
		}
		if err := c.drawDay(day, "worth, of what is owed", worth, filepath.Join(dir, name+"-worth.svg")); err != nil {
			return err
		}
		skew := func(r result) []sample { return r.skew }
		if err := c.drawDay(day, "load of the most loaded rank over the mean", skew, filepath.Join(dir, name+"-skew.svg")); err != nil {
			return err
		}
	}
	return nil
}

func (c *comparison) drawDay(day, label string, values func(r result) []sample, file string) error {
	p := plot.New()
	p.Title.Text = filepath.Base(day)
	p.X.Label.Text, p.Y.Label.Text = "seconds", label
	p.Y.Min = 0
	for i, s := range []revisionSide{sideBase, sideNew} {
		list := make([]sample, 0, len(c.seeds))
		for _, seed := range c.seeds {
			list = append(list, values(c.results[dayRun{day: day, seed: seed, side: s}])...)
		}
		line, err := plotter.NewLine(perSecond(list))
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(string(s), line)
	}
	return p.Save(width, height, file)
}

// perSecond returns the mean of the samples of each second.
func perSecond(list []sample) plotter.XYs {
	sums, counts := map[int]float64{}, map[int]float64{}
	for _, s := range list {
		sums[int(s.at)] += s.value
		counts[int(s.at)]++
	}
	points := make(plotter.XYs, 0, len(sums))
	for second, total := range sums {
		points = append(points, plotter.XY{X: float64(second), Y: total / counts[second]})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
	return points
}
