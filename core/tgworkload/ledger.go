// Package tgworkload keeps what the upstreams still have to do for the streams of one process, and tells how much of it a
// further stream would run beside.
package tgworkload

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"tanagergrade/core/tgcost"
)

const (
	shardCount = 16
	// A higher weight evens out the work that is left at the cost of the number of streams at present.
	overlapWeight = 0.25
	promptPerLoad = 1000.0 // prompt tokens still to be read that add as much load as a running stream
)

// Ledger holds the streams in progress by upstream. It is safe for concurrent use.
type Ledger struct {
	shards [shardCount]shard // by upstream
}

type shard struct {
	mu   sync.Mutex // guards jobs and the fields of the jobs in it
	jobs map[string]map[*Job]struct{}
}

// Job is a stream in progress. End must be called once it has ended; the other methods have no effect after that.
type Job struct {
	estimate  tgcost.Estimate
	produced  float64 // tokens
	remaining float64 // expected tokens still to come, at least 1
	shard     *shard
	started   bool // its prompt was read: the first event has come
	upstream  string
}

// NewLedger returns a ledger without streams.
func NewLedger() *Ledger {
	l := &Ledger{}
	for i := range l.shards {
		l.shards[i].jobs = map[string]map[*Job]struct{}{}
	}
	return l
}

func (l *Ledger) shard(upstream string) *shard {
	return &l.shards[xxhash.Sum64String(upstream)%shardCount]
}

// Start records a stream that is sent to an upstream, which continues it after the tokens that were produced already.
func (l *Ledger) Start(upstream string, est tgcost.Estimate, produced float64) *Job {
	s := l.shard(upstream)
	j := &Job{estimate: est, produced: produced, remaining: max(1, est.Remaining(produced)), shard: s, upstream: upstream}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[upstream] == nil {
		s.jobs[upstream] = map[*Job]struct{}{}
	}
	s.jobs[upstream][j] = struct{}{}
	return j
}

// Progress records that the upstream has produced more tokens of the stream.
func (j *Job) Progress(tokens float64) {
	j.shard.mu.Lock()
	defer j.shard.mu.Unlock()
	j.started = true
	j.produced += tokens
	j.remaining = max(1, j.estimate.Remaining(j.produced))
}

// End removes the stream.
func (j *Job) End() {
	j.shard.mu.Lock()
	defer j.shard.mu.Unlock()
	delete(j.shard.jobs[j.upstream], j)
	if len(j.shard.jobs[j.upstream]) == 0 {
		delete(j.shard.jobs, j.upstream)
	}
}

// Load is what an upstream still has to do for this process, as a further stream would meet it.
type Load struct {
	Memory  float64 // tokens that the streams take at their ends, in nine of ten cases
	Overlap float64 // mean number of streams that run beside the further one while it runs
	Prompt  float64 // prompt tokens still to be read
	Streams int
}

// Units returns the load in running streams. A pass of a rank group takes as long as its rank with the most streams, so the
// number of streams comes first, and the work that they have left decides among upstreams with as many.
func (l Load) Units() float64 {
	return float64(l.Streams) + overlapWeight*l.Overlap + l.Prompt/promptPerLoad
}

// Load returns the load of an upstream for a further stream of the given expected length in tokens. A stream that ends
// earlier than the further one counts for the part of the time in which both run.
func (l *Ledger) Load(upstream string, length float64) Load {
	s := l.shard(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Load
	for j := range s.jobs[upstream] {
		sum.Streams++
		sum.Memory += j.estimate.Memory()
		sum.Overlap += min(j.remaining, length) / max(length, 1)
		if !j.started {
			sum.Prompt += j.estimate.Prompt
		}
	}
	return sum
}

// State is the load of an upstream as shown in a dump.
type State struct {
	Memory    float64 `json:"memoryTokens"` // at the ends of the streams, in nine of ten cases
	Prompt    float64 `json:"promptTokens"` // still to be read
	Remaining float64 `json:"answerTokens"` // expected, still to be produced
	Streams   int     `json:"streams"`
}

// States returns the load of all upstreams with streams, by ID.
func (l *Ledger) States() map[string]State {
	states := map[string]State{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, jobs := range s.jobs {
			var st State
			for j := range jobs {
				st.Streams++
				st.Memory += j.estimate.Memory()
				st.Remaining += j.remaining
				if !j.started {
					st.Prompt += j.estimate.Prompt
				}
			}
			states[id] = st
		}
		s.mu.Unlock()
	}
	return states
}
