package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// revisionSide identifies one of the two compared revisions.
type revisionSide string

const (
	sideBase revisionSide = "base"
	sideNew  revisionSide = "new"
)

// dayRun identifies the run of one day with one seed on one revision.
type dayRun struct {
	day  string
	seed int
	side revisionSide
}

// window is the worth that the bench reports for a part of a day.
type window struct {
	Name  string  `json:"name"` // second of the day at which it starts
	Worth float64 `json:"worth"`
}

// sample is a value at a time of the day.
type sample struct {
	at    float64 // seconds
	value float64
}

// result is the bench's report of a run, and what the log of the run adds.
type result struct {
	Breaks  map[string]any `json:"breaks"` // rules that the run broke
	Fault   *string        `json:"fault"`  // nil if the run did not fail
	Windows []window       `json:"windows"`
	Worth   float64        `json:"G"` // of the whole day

	refusals map[string]int // number of refused requests by cause
	skew     []sample       // load of the most loaded rank over the mean, as the leader logs it
}

// pairRunner runs days on a pair of revisions.
type pairRunner struct {
	dir      string // directory of the checkouts and reports
	options  *options
	progress io.Writer

	mu   sync.Mutex // guards done and writes to progress
	done int
}

// runAll runs all days with all seeds on both revisions. It returns an error if any run fails.
func (p *pairRunner) runAll(ctx context.Context) (map[dayRun]result, error) {
	root, err := output(ctx, "", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return nil, err
	}
	revisions := map[revisionSide]string{sideBase: p.options.base, sideNew: p.options.candidate}
	for s, revision := range revisions {
		if err := p.checkOut(ctx, root, s, revision); err != nil {
			return nil, err
		}
	}
	var runs []dayRun
	for _, day := range p.options.days {
		for _, seed := range p.options.seeds {
			runs = append(runs, dayRun{day: day, seed: seed, side: sideBase}, dayRun{day: day, seed: seed, side: sideNew})
		}
	}
	var mu sync.Mutex
	results := map[dayRun]result{}
	workers := pool.New().WithContext(ctx).WithCancelOnError().WithMaxGoroutines(p.options.jobs)
	for _, d := range runs {
		workers.Go(func(ctx context.Context) error {
			r, err := p.run(ctx, d)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			results[d] = r
			p.report(d, r, len(runs))
			return nil
		})
	}
	err = workers.Wait()
	for s := range revisions { // journal entries of failed runs are kept too
		err = errors.CombineErrors(err, copyJournal(filepath.Join(p.dir, string(s), "journal"), filepath.Join(root, "journal")))
	}
	return results, err
}

// checkOut clones the repository at a revision and builds it with the bench.
func (p *pairRunner) checkOut(ctx context.Context, root string, s revisionSide, revision string) error {
	dir := filepath.Join(p.dir, string(s))
	if _, err := output(ctx, "", "git", "clone", "-q", root, dir); err != nil {
		return err
	}
	commit, err := output(ctx, root, "git", "rev-parse", "--verify", revision+"^{commit}")
	if err != nil {
		return err
	}
	if _, err := output(ctx, dir, "git", "checkout", "-q", commit); err != nil {
		return err
	}
	_, err = output(ctx, dir, p.options.bench, "build")
	return err
}

func (p *pairRunner) report(d dayRun, r result, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done++
	fmt.Fprintf(p.progress, "%d of %d: %s seed %d on %s: worth %.3f\n", p.done, total, filepath.Base(d.day), d.seed, d.side, r.Worth)
}

func (p *pairRunner) run(ctx context.Context, d dayRun) (result, error) {
	o := p.options
	report := filepath.Join(p.dir, fmt.Sprintf("%s-%s-%d.json", d.side, filepath.Base(d.day), d.seed))
	text, err := output(ctx, filepath.Join(p.dir, string(d.side)), o.bench, "run", o.site, d.day, "--seed", strconv.Itoa(d.seed),
		"--no-cpu", "--log", "all", "--report", report, "--why", o.why+" ("+string(d.side)+")")
	if err != nil {
		return result{}, err
	}
	data, err := os.ReadFile(report)
	if err != nil {
		return result{}, errors.Wrap(err, "read report")
	}
	var r result
	if err := json.Unmarshal(data, &r); err != nil {
		return result{}, errors.Wrapf(err, "report %s", report)
	}
	r.readLog(strings.NewReader(text))
	return r, nil
}

const maxLineBytes = 1 << 20 // longest log line that is read

// readLog reads the skew and the refusals from the daemons' log lines, each of which begins with the second of the day.
func (r *result) readLog(log io.Reader) {
	r.refusals = map[string]int{}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		at, rest, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		second, err := strconv.ParseFloat(at, 64)
		if err != nil {
			continue
		}
		fields := logFields(rest)
		switch {
		case fields["msg"] == "skew":
			if now, err := strconv.ParseFloat(fields["now"], 64); err == nil {
				r.skew = append(r.skew, sample{at: second, value: now})
			}
		case fields["msg"] == "request" && fields["outcome"] == "refused":
			r.refusals[fields["detail"]]++
		}
	}
}

// logFields parses key=value pairs; quoted values may contain spaces.
func logFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			return fields
		}
		if i := strings.LastIndexByte(key, ' '); i >= 0 {
			key = key[i+1:]
		}
		value, after, _ := strings.Cut(rest, " ")
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, after = quoted[1:len(quoted)-1], rest[len(quoted):]
		}
		fields[key], line = value, after
	}
	return fields
}

// output runs a program and returns its standard output without leading and trailing space.
func output(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	var stderr bytes.Buffer
	cmd.Dir, cmd.Stderr = dir, &stderr
	text, err := cmd.Output()
	if err != nil {
		return "", errors.Wrapf(err, "%s %s: %s", filepath.Base(name), strings.Join(args, " "), strings.TrimSpace(stderr.String()))
	}
	return strings.TrimSpace(string(text)), nil
}

// copyJournal copies the files below from that do not exist below to.
func copyJournal(from, to string) error {
	return filepath.WalkDir(from, func(path string, d os.DirEntry, err error) error {
		if errors.Is(err, os.ErrNotExist) && path == from {
			return nil // nothing was run
		}
		if err != nil || d.IsDir() {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, name)
		if _, err := os.Stat(target); err == nil {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return err
		}
		return os.WriteFile(target, data, 0o644)
	})
}
