package tgdemo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcall"
	"tanagergrade/io/tggroup"
	"tanagergrade/io/tgstandin"
)

// ErrGuaranteeViolated says that the demo saw a promise of the system broken.
var ErrGuaranteeViolated = errors.New("a promise was broken")

// tally counts the requests of one kind.
type tally struct {
	answered, cutOff, notRun, sent, twice, unknown int

	first, gaps *hdrhistogram.Histogram // in microseconds
}

// report is the result of a load.
type report struct {
	mu        sync.Mutex
	falseNot  int   // promises that ran although every call with their key was told that it was not run
	forbidden int64 // executions in a withdrawn data centre after the bound
	control   tggroup.Status
	group     tgstandin.RankGroupStats
	lost      int                         // promises answered but not in the ledger
	states    map[string][]tgcall.Outcome // of the calls with each promise's key
	tallies   map[kind]*tally
}

func newReport() *report {
	r := &report{states: map[string][]tgcall.Outcome{}, tallies: map[kind]*tally{}}
	for _, k := range kinds {
		r.tallies[k] = &tally{
			first: hdrhistogram.New(1, requestTimeout.Microseconds(), 3), gaps: hdrhistogram.New(1, requestTimeout.Microseconds(), 3),
		}
	}
	return r
}

func (r *report) add(q request, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[q.kind]
	t.sent++
	switch {
	case o.state == tgcall.Answered && o.whole:
		t.answered++
	case o.state == tgcall.Answered:
		t.cutOff++
	case o.state == tgcall.NotRun:
		t.notRun++
	default:
		t.unknown++
	}
	if o.first > 0 {
		_ = t.first.RecordValue(o.first.Microseconds())
	}
	for _, g := range o.gaps {
		_ = t.gaps.RecordValue(g.Microseconds())
	}
	if q.kind == kindPromise {
		r.states[q.key] = append(r.states[q.key], o.state)
	}
}

// compare compares what callers were told with what the ledger executed.
func (r *report) compare(entries []tgstandin.LedgerEntry) {
	runs := map[string]int{}
	for _, e := range entries {
		runs[e.Key]++
	}
	for key, states := range r.states {
		if runs[key] > 1 {
			r.tallies[kindPromise].twice++
		}
		answered, notRun := false, true
		for _, s := range states {
			answered = answered || s == tgcall.Answered
			notRun = notRun && s == tgcall.NotRun
		}
		if answered && runs[key] == 0 {
			r.lost++
		}
		if notRun && runs[key] > 0 {
			r.falseNot++
		}
	}
}

func (r *report) print(w io.Writer) error {
	fmt.Fprintf(w, "%-8s %5s %8s %6s %7s %8s %6s %22s %22s\n", "kind", "sent", "answered", "notRun", "unknown",
		"runTwice", "cutOff", "first token p50/95/99", "between p50/95/99")
	broken := len(r.group.MixedSteps) > 0 || r.lost > 0 || r.falseNot > 0 || r.forbidden > 0
	for _, k := range kinds {
		t := r.tallies[k]
		fmt.Fprintf(w, "%-8s %5d %8d %6d %7d %8d %6d %22s %22s\n", k, t.sent, t.answered, t.notRun, t.unknown,
			t.twice, t.cutOff, quantiles(t.first), quantiles(t.gaps))
		broken = broken || t.twice > 0 || t.cutOff > 0
	}
	fmt.Fprintf(w, "answered but lost: %d, said not run but ran: %d, run in a withdrawn data centre after %s: %d\n",
		r.lost, r.falseNot, withdrawalBound, r.forbidden)
	fmt.Fprintf(w, "rank group: %d map changes, %d steps, %d with mixed maps, mean skew %.2f, longest pause %s\n",
		r.control.Changes, r.group.Completed, len(r.group.MixedSteps), r.group.MeanSkew,
		r.group.LongestGap.Round(time.Millisecond))
	fmt.Fprintf(w, "last decision: %s, %d moves, skew %.2f to %.2f, saving %s, cost %s\n", r.control.LastDecision.Reason,
		r.control.LastDecision.Moves, r.control.LastDecision.SkewNow, r.control.LastDecision.SkewAfter,
		r.control.LastDecision.Saving.Round(time.Millisecond), r.control.LastDecision.Cost.Round(time.Millisecond))
	if broken {
		return ErrGuaranteeViolated
	}
	return nil
}

func quantiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	ms := func(q float64) float64 {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds() * 1000
	}
	return fmt.Sprintf("%.0f/%.0f/%.0f ms", ms(50), ms(95), ms(99))
}
