package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"text/tabwriter"
)

// comparison has the results of two revisions.
type comparison struct {
	days    []string
	results map[dayRun]result
	seeds   []int
}

func newComparison(o *options, results map[dayRun]result) *comparison {
	return &comparison{days: o.days, results: results, seeds: o.seeds}
}

// worthBySeed returns the worths of a day on one revision, in the order of the seeds.
func (c *comparison) worthBySeed(day string, s revisionSide) []float64 {
	list := make([]float64, 0, len(c.seeds))
	for _, seed := range c.seeds {
		list = append(list, c.results[dayRun{day: day, seed: seed, side: s}].Worth)
	}
	return list
}

// pairedDifference returns the mean difference of pairs and its standard error, which is NaN for a single pair.
func pairedDifference(base, next []float64) (mean, standardError float64) {
	n := float64(len(base))
	for i := range base {
		mean += (next[i] - base[i]) / n
	}
	squares := 0.0
	for i := range base {
		d := next[i] - base[i] - mean
		squares += d * d
	}
	return mean, math.Sqrt(squares / (n - 1) / n)
}

func mean(list []float64) float64 {
	s := 0.0
	for _, x := range list {
		s += x
	}
	return s / float64(len(list))
}

func (c *comparison) print(w io.Writer) {
	const columnGap = 2
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(tw, "DAY\tBASE\tNEW\tDIFFERENCE\tSTANDARD ERROR")
	var allBase, allNew []float64
	row := func(name string, base, next []float64) {
		d, e := pairedDifference(base, next)
		fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%+.4f\t%.4f\n", name, mean(base), mean(next), d, e)
	}
	for _, day := range c.days {
		base, next := c.worthBySeed(day, sideBase), c.worthBySeed(day, sideNew)
		row(filepath.Base(day), base, next)
		allBase, allNew = append(allBase, base...), append(allNew, next...)
	}
	row("all", allBase, allNew)
	_ = tw.Flush() // errors of writing to the output are ignored
	c.printRefusals(w)
	c.printViolations(w)
}

// printRefusals prints the number of refused requests for each of the most frequent causes, most first.
func (c *comparison) printRefusals(w io.Writer) {
	counts := map[revisionSide]map[string]int{sideBase: {}, sideNew: {}}
	causes := map[string]int{}
	for p, r := range c.results {
		for cause, n := range r.refusals {
			counts[p.side][cause] += n
			causes[cause] += n
		}
	}
	if len(causes) == 0 {
		return
	}
	const columnGap = 2
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(tw, "\nREFUSED FOR\tBASE\tNEW")
	list := slices.SortedFunc(maps.Keys(causes), func(a, b string) int {
		if causes[a] != causes[b] {
			return causes[b] - causes[a]
		}
		return len(a) - len(b)
	})
	const maxCauses = 8
	for _, cause := range list[:min(maxCauses, len(list))] {
		fmt.Fprintf(tw, "%s\t%d\t%d\n", cause, counts[sideBase][cause], counts[sideNew][cause])
	}
	_ = tw.Flush() // errors of writing to the output are ignored
}

// printViolations prints the runs that broke a rule or failed.
func (c *comparison) printViolations(w io.Writer) {
	for _, s := range []revisionSide{sideBase, sideNew} {
		for _, day := range c.days {
			for _, seed := range c.seeds {
				r := c.results[dayRun{day: day, seed: seed, side: s}]
				for _, rule := range slices.Sorted(maps.Keys(r.Breaks)) {
					fmt.Fprintf(w, "%s, %s seed %d: broke %s\n", s, filepath.Base(day), seed, rule)
				}
				if r.Fault != nil {
					fmt.Fprintf(w, "%s, %s seed %d: fault: %s\n", s, filepath.Base(day), seed, *r.Fault)
				}
			}
		}
	}
}
