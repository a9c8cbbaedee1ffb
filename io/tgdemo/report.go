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

// ErrGuaranteeViolated reports that the demo observed a violation of one of the system's guarantees.
var ErrGuaranteeViolated = errors.New("a promise was broken")

// tally counts the requests of one kind by their result.
type tally struct {
	answered, truncated, notRun, sent, ranTwice, unknown int

	first, gaps *hdrhistogram.Histogram // time to the first token and between tokens, in microseconds
}

// report is the result of a load.
type report struct {
	mu             sync.Mutex
	falseNotRun    int   // promises that ran although each call with their key got the outcome notRun
	lateExecutions int64 // executions in a withdrawn data centre after withdrawalBound
	controller     tggroup.Status
	group          tgstandin.RankGroupStats
	lostAnswered   int                         // promises answered but not in the ledger
	outcomes       map[string][]tgcall.Outcome // of all calls with the same promise, by idempotency key
	tallies        map[kind]*tally
}

func newReport() *report {
	r := &report{outcomes: map[string][]tgcall.Outcome{}, tallies: map[kind]*tally{}}
	for _, k := range kinds {
		r.tallies[k] = &tally{
			first: hdrhistogram.New(1, requestTimeout.Microseconds(), 3), gaps: hdrhistogram.New(1, requestTimeout.Microseconds(), 3),
		}
	}
	return r
}

func (r *report) add(q request, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tallies[q.kind]
	t.sent++
	switch {
	case res.outcome == tgcall.Answered && res.complete:
		t.answered++
	case res.outcome == tgcall.Answered:
		t.truncated++
	case res.outcome == tgcall.NotRun:
		t.notRun++
	default:
		t.unknown++
	}
	if res.firstToken > 0 {
		_ = t.first.RecordValue(res.firstToken.Microseconds())
	}
	for _, g := range res.tokenGaps {
		_ = t.gaps.RecordValue(g.Microseconds())
	}
	if q.kind == kindPromise {
		r.outcomes[q.key] = append(r.outcomes[q.key], res.outcome)
	}
}

// checkLedger compares the outcomes that callers got with the requests that the ledger executed.
func (r *report) checkLedger(entries []tgstandin.LedgerEntry) {
	runs := map[string]int{}
	for _, e := range entries {
		runs[e.Key]++
	}
	for key, outcomes := range r.outcomes {
		if runs[key] > 1 {
			r.tallies[kindPromise].ranTwice++
		}
		answered, notRun := false, true
		for _, outcome := range outcomes {
			answered = answered || outcome == tgcall.Answered
			notRun = notRun && outcome == tgcall.NotRun
		}
		if answered && runs[key] == 0 {
			r.lostAnswered++
		}
		if notRun && runs[key] > 0 {
			r.falseNotRun++
		}
	}
}

func (r *report) print(w io.Writer) error {
	fmt.Fprintf(w, "%-8s %5s %8s %6s %7s %8s %6s %22s %22s\n", "kind", "sent", "answered", "notRun", "unknown",
		"runTwice", "cutOff", "first token p50/95/99", "between p50/95/99")
	violated := len(r.group.MixedSteps) > 0 || r.lostAnswered > 0 || r.falseNotRun > 0 || r.lateExecutions > 0
	for _, k := range kinds {
		t := r.tallies[k]
		fmt.Fprintf(w, "%-8s %5d %8d %6d %7d %8d %6d %22s %22s\n", k, t.sent, t.answered, t.notRun, t.unknown,
			t.ranTwice, t.truncated, quantiles(t.first), quantiles(t.gaps))
		violated = violated || t.ranTwice > 0 || t.truncated > 0
	}
	fmt.Fprintf(w, "answered but lost: %d, said not run but ran: %d, run in a withdrawn data centre after %s: %d\n",
		r.lostAnswered, r.falseNotRun, withdrawalBound, r.lateExecutions)
	fmt.Fprintf(w, "rank group: %d map changes, %d steps, %d with mixed maps, mean skew %.2f, longest pause %s\n",
		r.controller.Changes, r.group.Completed, len(r.group.MixedSteps), r.group.MeanSkew,
		r.group.LongestGap.Round(time.Millisecond))
	fmt.Fprintf(w, "last decision: %s, %d moves, skew %.2f to %.2f, saving %s, cost %s\n", r.controller.LastDecision.Reason,
		r.controller.LastDecision.Moves, r.controller.LastDecision.SkewNow, r.controller.LastDecision.SkewAfter,
		r.controller.LastDecision.Saving.Round(time.Millisecond), r.controller.LastDecision.Cost.Round(time.Millisecond))
	if violated {
		return ErrGuaranteeViolated
	}
	return nil
}

// quantiles formats the 50th, 95th and 99th percentiles of h.
func quantiles(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	ms := func(q float64) float64 {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds() * 1000
	}
	return fmt.Sprintf("%.0f/%.0f/%.0f ms", ms(50), ms(95), ms(99))
}
