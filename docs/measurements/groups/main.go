// Command groups reads benchmark results of the rank groups, draws their plots into a directory and prints tables.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = vg.Length(560)
	height = vg.Length(280)
)

// figure describes one table, and one plot if it has a file name.
type figure struct {
	bench        string // name of the benchmark without its prefix
	digits       int
	file         string
	lastIsColumn bool // the last part of the benchmark's name is the column, otherwise the first one
	metric       string
	title        string
}

var figures = []figure{
	{"Policies", 3, "groups-skew.svg", true, "skew/bound", "Step-time skew over its bound, mean over steps and seeds"},
	{"Policies", 3, "groups-skew-p99.svg", true, "p99/bound", "Step-time skew over its bound, p99 over steps, mean over seeds"},
	{"Policies", 0, "groups-bytes.svg", true, "GB", "GB moved in 200 windows, mean over seeds"},
	{"Policies", 0, "", true, "changes", "Changes in 200 windows, mean over seeds"},
	{"Batch", 3, "groups-batch.svg", true, "skew/bound", "Skew over its bound by tokens per rank and step, 32 ranks, slow drift"},
	{"Decision", 2, "groups-decision.svg", true, "cpu-ms/op", "Processor time of one decision in ms"},
	{"Decision", 2, "", true, "ns/op", "Elapsed time of one decision on the busy machine in ms"},
	{"Change", 1, "groups-change.svg", false, "ms/change", "Arming to last commit in ms"},
	{"Change", 1, "groups-gap.svg", false, "ms-longest-gap", "Longest time between two steps in ms"},
	{"Change", 1, "", false, "ms-blocked", "Time in which some ranks waited in a step, ms for each change"},
	{"Choose", 0, "groups-choose.svg", true, "tokens-slowest", "Tokens per step of the slowest rank"},
	{"Choose", 2, "", true, "steps-to-first", "Steps to the first token"},
	{"Choose", 4, "", true, "delayed", "Share of requests that wait for more than 20 steps"},
	{"Choose", 3, "", true, "prefill-saved", "Share of the prompt tokens found in a cache"},
}

// sample is one result line of a benchmark.
type sample struct {
	bench  string
	values map[string]float64
	parts  []string // parts of the name after the benchmark, without the seed
}

func main() {
	dir := flag.String("dir", "docs/measurements", "directory of the plots")
	flag.Parse()
	samples, err := parse(os.Stdin)
	for _, f := range figures {
		if err == nil {
			err = newTable(f, samples).write(os.Stdout, *dir)
		}
	}
	if err != nil {
		logrus.WithError(err).Fatal("could not parse or draw benchmark results")
	}
}

func parse(r io.Reader) ([]sample, error) {
	var samples []sample
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := strings.TrimPrefix(fields[0], "Benchmark")
		if i := strings.LastIndexByte(name, '-'); i > 0 {
			name = name[:i] // without the number of processors
		}
		parts := strings.Split(name, "/")
		s := sample{bench: parts[0], values: map[string]float64{}}
		for _, p := range parts[1:] {
			if !strings.HasPrefix(p, "seed=") {
				s.parts = append(s.parts, p)
			}
		}
		for i := 2; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, err
			}
			s.values[fields[i+1]] = v
		}
		samples = append(samples, s)
	}
	return samples, lines.Err()
}

// table has the mean of a metric by row and column; rows and columns are in the order of their first appearance.
type table struct {
	figure
	columns, rows []string
	counts, sums  map[[2]string]float64
}

func newTable(f figure, samples []sample) *table {
	t := &table{figure: f, counts: map[[2]string]float64{}, sums: map[[2]string]float64{}}
	for _, s := range samples {
		v, ok := s.values[f.metric]
		if s.bench != f.bench || !ok {
			continue
		}
		row, column := strings.Join(s.parts[1:], " "), s.parts[0]
		if f.lastIsColumn {
			row, column = strings.Join(s.parts[:len(s.parts)-1], " "), s.parts[len(s.parts)-1]
		}
		if f.metric == "ns/op" {
			v /= 1e6
		}
		t.columns, t.rows = appendUnique(t.columns, column), appendUnique(t.rows, row)
		t.counts[[2]string{row, column}]++
		t.sums[[2]string{row, column}] += v
	}
	return t
}

func appendUnique(list []string, s string) []string {
	for _, v := range list {
		if v == s {
			return list
		}
	}
	return append(list, s)
}

func (t *table) value(row, column string) float64 {
	k := [2]string{row, column}
	return t.sums[k] / max(t.counts[k], 1)
}

func (t *table) write(w io.Writer, dir string) error {
	if len(t.rows) == 0 {
		return nil
	}
	fmt.Fprintf(w, "%s (`%s`):\n\n| |%s|\n|---|%s\n", t.title, t.metric, strings.Join(t.columns, "|"),
		strings.Repeat("--:|", len(t.columns)))
	for _, row := range t.rows {
		fmt.Fprintf(w, "|%s|", row)
		for _, column := range t.columns {
			fmt.Fprintf(w, "%.*f|", t.digits, t.value(row, column))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
	if t.file == "" {
		return nil
	}
	fmt.Fprintf(w, "![%s](%s)\n\n", t.title, t.file)
	return t.plot(filepath.Join(dir, t.file))
}

func (t *table) plot(file string) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = t.title, t.metric, 0
	p.Legend.Top = true
	group := vg.Length(400) / vg.Length(len(t.rows))
	bar := group / vg.Length(len(t.columns)+1)
	for i, column := range t.columns {
		values := make(plotter.Values, len(t.rows))
		for j, row := range t.rows {
			values[j] = t.value(row, column)
		}
		bars, err := plotter.NewBarChart(values, bar)
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = bar * (vg.Length(i) - vg.Length(len(t.columns)-1)/2)
		p.Add(bars)
		p.Legend.Add(column, bars)
	}
	p.NominalX(t.rows...)
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = 0.5, -1, -0.5
	return p.Save(width, height, file)
}
