// Command days runs days of a deployment on two revisions with the users' bench and compares the results over several
// seeds.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const usage = `Usage: go run ./docs/measurements/days --bench PATH --site PATH --days NAME,... --why TEXT [flags]

Plays each day with each seed on the revisions --base and --new, prints the mean worth of each day with the standard
error of the difference, and the refusals by cause. The worth and the skew of the ranks over time are drawn into --plots.
Journal entries of the bench are copied into journal/. Uncommitted changes are not played.
`

// options are the flags.
type options struct {
	base      string // revision
	bench     string // path of the bench
	candidate string // revision that is compared with base
	days      []string
	jobs      int    // days that run at the same time
	plots     string // directory; empty for no plots
	seeds     []int
	site      string // path of the site file
	why       string // reason for the runs, for the bench's journal
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	o, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintf(stderr, "days: %v\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := compareRevisions(ctx, o, stdout, stderr); err != nil {
		fmt.Fprintf(stderr, "days: %v\n", err)
		return 1
	}
	return 0
}

func compareRevisions(ctx context.Context, o *options, stdout, stderr io.Writer) error {
	dir, err := os.MkdirTemp("", "days")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a directory that remains does no harm
	p := &pairRunner{dir: dir, options: o, progress: stderr}
	results, err := p.runAll(ctx)
	if err != nil {
		return err
	}
	c := newComparison(o, results)
	c.print(stdout)
	if o.plots == "" {
		return nil
	}
	return c.draw(o.plots)
}

func parse(args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet("days", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprint(stderr, usage)
		flags.PrintDefaults()
	}
	flags.StringVar(&o.base, "base", "HEAD~1", "revision to compare with")
	flags.StringVar(&o.bench, "bench", "", "path of the bench")
	days := flags.String("days", "", "names of days, or paths of day files, separated by commas")
	flags.IntVar(&o.jobs, "jobs", 4, "days played at the same time")
	flags.StringVar(&o.candidate, "new", "HEAD", "revision that is compared")
	flags.StringVar(&o.plots, "plots", "", "directory of the plots")
	seeds := flags.String("seeds", "1-6", "seeds, as a range or separated by commas")
	flags.StringVar(&o.site, "site", "", "path of the site file")
	flags.StringVar(&o.why, "why", "", "reason, for the journal")
	if err := flags.Parse(args); err != nil {
		return nil, err
	}
	for name, value := range map[string]string{"bench": o.bench, "days": *days, "site": o.site, "why": o.why} {
		if value == "" {
			return nil, errors.Newf("--%s is missing", name)
		}
	}
	o.days = strings.Split(*days, ",")
	for i, day := range o.days {
		if !strings.HasSuffix(day, ".toml") {
			continue
		}
		path, err := filepath.Abs(day)
		if err != nil {
			return nil, err
		}
		o.days[i] = path
	}
	var err error
	if o.seeds, err = parseSeeds(*seeds); err != nil {
		return nil, err
	}
	if o.jobs < 1 {
		return nil, errors.Newf("--jobs is %d, must be at least 1", o.jobs)
	}
	if o.bench, err = filepath.Abs(o.bench); err != nil {
		return nil, err
	}
	o.site, err = filepath.Abs(o.site)
	return o, err
}

// parseSeeds reads "1-6" or "3,5,9".
func parseSeeds(s string) ([]int, error) {
	if first, last, ok := strings.Cut(s, "-"); ok {
		a, errA := strconv.Atoi(first)
		b, errB := strconv.Atoi(last)
		if errA != nil || errB != nil || b < a {
			return nil, errors.Newf("--seeds %q is not a range", s)
		}
		seeds := make([]int, 0, b-a+1)
		for i := a; i <= b; i++ {
			seeds = append(seeds, i)
		}
		return seeds, nil
	}
	var seeds []int
	for part := range strings.SplitSeq(s, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			return nil, errors.Newf("--seeds: %q is not a number", part)
		}
		seeds = append(seeds, n)
	}
	return seeds, nil
}
