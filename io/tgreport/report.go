// Package tgreport records the decisions of a daemon as log lines, counters and latency histograms.
package tgreport

import (
	"expvar"
	"io"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"tanagergrade/core/tglogtable"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tglogline"
	"tanagergrade/io/tgproxy"
)

const (
	histogramMin    = 1              // milliseconds
	histogramMax    = 10 * 60 * 1000 // milliseconds
	histogramDigits = 2              // significant decimal digits of recorded values
)

// Reporter writes the log and keeps the counters of a daemon. It is safe for concurrent use and never blocks.
type Reporter struct {
	Counters *expvar.Map

	latencies map[string]*hdrhistogram.Histogram // by outcome, in milliseconds; guarded by mu
	log       *logrus.Logger
	mu        sync.Mutex
	writer    *tglogline.Writer
}

// NewReporter returns a reporter for the daemon on vm that logs to out.
func NewReporter(vm string, out io.Writer) *Reporter {
	r := &Reporter{
		Counters: new(expvar.Map).Init(), latencies: map[string]*hdrhistogram.Histogram{}, log: logrus.New(),
		writer: tglogline.NewWriter(out),
	}
	r.log.SetOutput(r.writer)
	r.log.SetFormatter(&logrus.TextFormatter{DisableColors: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	r.log.AddHook(&fixedField{name: "vm", value: vm})
	r.Counters.Set("latencyMs", expvar.Func(r.quantiles))
	r.Counters.Set("logLinesDropped", expvar.Func(func() any { return r.writer.Dropped() }))
	return r
}

// fixedField is a hook that adds a field to each log line.
type fixedField struct {
	name, value string
}

// Levels implements logrus.Hook.
func (f *fixedField) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (f *fixedField) Fire(e *logrus.Entry) error {
	e.Data[f.name] = f.value
	return nil
}

// Close writes the pending lines and ends the writer.
func (r *Reporter) Close() error { return r.writer.Close() }

// Fields are the key-value pairs of a log line.
type Fields = logrus.Fields

// Line logs message with fields at level info.
func (r *Reporter) Line(message string, fields Fields) { r.log.WithFields(fields).Info(message) }

// Request implements tgproxy.Observer.
func (r *Reporter) Request(e tgproxy.Event) {
	r.Counters.Add("requests."+e.Outcome, 1)
	r.recordLatency(e.Outcome, e.Elapsed)
	r.log.WithFields(eventFields(e)).Info("request")
}

// Attempt implements tgproxy.Observer.
func (r *Reporter) Attempt(e tgproxy.Event) {
	r.Counters.Add("attempts."+e.Outcome, 1)
	r.log.WithFields(eventFields(e)).Info("attempt")
}

func eventFields(e tgproxy.Event) Fields {
	f := Fields{"elapsedMs": e.Elapsed.Milliseconds(), "outcome": e.Outcome}
	text := func(name, value string) {
		if value != "" {
			f[name] = value
		}
	}
	number := func(name string, value int64) {
		if value != 0 {
			f[name] = value
		}
	}
	text("account", e.Account)
	text("basis", e.ExpectedBasis)
	text("detail", e.Detail)
	text("id", e.ID)
	text("placedBy", e.PlacedBy)
	text("pool", e.Pool)
	text("promptParts", e.PromptParts)
	text("route", e.Route)
	text("upstream", e.Upstream)
	number("attempts", int64(e.Attempts))
	number("config", e.ConfigVersion)
	number("expectedTokens", int64(e.ExpectedTokens))
	number("expectedWaitMs", e.ExpectedWait.Milliseconds())
	number("firstEventMs", e.TimeToFirstEvent.Milliseconds())
	number("likelyTokens", int64(e.LikelyTokens))
	number("longestPauseMs", e.LongestPause.Milliseconds())
	number("position", int64(e.Position))
	number("promptTokens", int64(e.PromptTokens))
	number("status", int64(e.Status))
	number("tokens", int64(e.Tokens))
	number("waitedMs", e.Waited.Milliseconds())
	if e.Stop.Basis != "" {
		f["stopBasis"], f["stopLeftMs"] = string(e.Stop.Basis), e.Stop.Left.Milliseconds()
		number("stopForecastMs", e.Stop.Forecast.Milliseconds())
	}
	if e.UpstreamLoad > 0 {
		f["load"] = math.Round(e.UpstreamLoad*10) / 10
	}
	if e.Returning {
		f["returning"] = true
	}
	if e.RetryAfter > 0 {
		f["retryAfterMs"] = e.RetryAfter.Milliseconds()
	}
	if e.Limit > 0 {
		f["inFlight"], f["limit"], f["peakGapMs"] = e.InFlight, int(e.Limit), e.PeakGap.Milliseconds()
	}
	return f
}

// ViewChange logs a change of the view: what the daemon holds to be the current configuration and upstreams.
func (r *Reporter) ViewChange(source, table string, c tgview.Change) {
	r.Counters.Add("beliefs."+c.Outcome, 1)
	f := Fields{"key": c.Key, "offset": c.Offset, "outcome": c.Outcome, "source": source, "table": table}
	if c.Version != 0 {
		f["version"] = c.Version
	}
	if c.Epoch != 0 {
		f["epoch"] = c.Epoch
	}
	if c.Age > 0 {
		f["ageMs"] = c.Age.Milliseconds()
	}
	if c.Err != nil {
		f["error"] = c.Err.Error()
	}
	r.log.WithFields(f).Info("belief")
}

// Quarantine logs what a part of prompts is believed to be, and at how many crashes it was.
func (r *Reporter) Quarantine(c tgquarantine.Change) {
	r.Counters.Add("quarantine."+string(c.Outcome), 1)
	r.log.WithFields(Fields{"crashes": c.Strikes, "outcome": c.Outcome, "part": c.Part}).Info("quarantine")
}

// QuarantineSaved logs that the store has answered the write of a record of a suspect part, or of its removal.
func (r *Reporter) QuarantineSaved(record tglogtable.Record, elapsed time.Duration) {
	f := Fields{"elapsedMs": elapsed.Milliseconds(), "outcome": "removed", "part": record.Key}
	if saved, err := tgquarantine.DecodeRecord(record); err == nil {
		f["crashes"], f["outcome"] = len(saved.CrashIDs), "saved"
	}
	r.log.WithFields(f).Info("quarantineRecord")
}

// Dependency logs that a dependency changed to a state such as "lost" or "answers".
func (r *Reporter) Dependency(name, state string, err error) {
	r.Counters.Add("dependencies."+state, 1)
	f := Fields{"name": name, "state": state}
	if err != nil {
		f["error"] = err.Error()
	}
	r.log.WithFields(f).Warn("dependency")
}

func (r *Reporter) recordLatency(outcome string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.latencies[outcome]
	if !ok {
		h = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
		r.latencies[outcome] = h
	}
	// Values outside the range of the histogram count as its nearest bound.
	_ = h.RecordValue(min(max(d.Milliseconds(), histogramMin), histogramMax))
}

// Quantiles are the count and the latency quantiles, in milliseconds, of requests with one outcome.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

func (r *Reporter) quantiles() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := make(map[string]Quantiles, len(r.latencies))
	for name, h := range r.latencies {
		q[name] = Quantiles{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
		}
	}
	return q
}
