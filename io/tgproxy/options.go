// Package tgproxy is a reverse proxy for HTTP/1.1: it routes callers' requests to upstreams, limits concurrent streams,
// retries failed attempts and resumes broken streams. The names of headers and the catalog are supplied by its user.
package tgproxy

import (
	"time"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgdrain"
)

// Headers names the headers that the proxy reads or sets.
type Headers struct {
	Account        string // set for upstreams: the client account of the key
	AttemptID      string // of the caller's attempt; upstreams echo it
	DeadlineMs     string // milliseconds that the caller will wait
	FailedUpstream string // set by upstreams: the one whose failure made the group fail
	Key            string // the caller's key; not forwarded
	LastEventID    string // ID of the last event that the caller has received, to resume a stream
	Leaving        string // set by upstreams that leave, in all their answers
	LengthHint     string // the caller's estimate of the tokens of the answer
	NotExecuted    string // set by upstreams that did not run the request
	Priority       string // set for upstreams: 0 is admitted first
	PromptParts    string // the prompt's parts in order, as ID:TOKENS separated by commas
	Signature      string // set by upstreams on answers of their own
	TargetID       string // set for upstreams: the incarnation that may run the request
	TokenCounts    string // number of prompt tokens and most output tokens, separated by a comma
	WeightVersion  string // of the weights that the caller asks for; upstreams with others answer 421
}

// Catalog supplies the configuration and the state of the deployment.
type Catalog interface {
	// Config returns the accepted configuration, or nil if none is known, and whether it is known to be current.
	Config() (c *tgcatalog.Config, current bool)
	// EntryCount returns how many entries may be serving callers, this one included.
	EntryCount() int
	// Slowdown returns the factor by which an upstream's work takes longer than usual; 1 if it is not known to be slow.
	Slowdown(u *tgcatalog.Upstream) float64
	// RemoteStreams returns how many streams the other entries have in progress in a pool.
	RemoteStreams(pool string) int
	// Upstreams returns the upstreams of a pool that may get new work.
	Upstreams(pool string) []tgcatalog.Upstream
}

// Limits are the memory for bodies, the retry budget that all entries share, and the times of a shutdown.
type Limits struct {
	BufferBytes     int64         // memory for bodies of all calls together; 0 if it is unbounded
	DrainGrace      time.Duration // from the start of a drain to the end of the process
	RetryBurst      float64       // retries within RetryWindow beyond those of RetryRatio, of all entries together
	RetryRatio      float64       // retries per request within RetryWindow
	RetryWindow     time.Duration
	ShutdownReserve time.Duration // part of DrainGrace left for the process to exit
}

// Event is one decision about a request, for the log.
type Event struct {
	Account          string
	Attempts         int
	ConfigVersion    int64
	Detail           string
	Elapsed          time.Duration
	ExpectedBasis    string        // what the expectation is based on
	ExpectedTokens   float64       // of the answer, at the median; 0 if no length was estimated
	ExpectedWait     time.Duration // for a place, of a stream that was refused one
	ID               string
	InFlight         int
	LikelyTokens     float64 // that nine of ten answers of this kind do not exceed
	Limit            float64
	LongestPause     time.Duration // between events of a stream
	Outcome          string
	PeakGap          time.Duration // longest interval between events on which Limit is based
	PlacedBy         string        // beside the streams of the entry, what the upstream was chosen by
	Pool             string
	Position         int    // streams that were ahead of a refused one
	PromptParts      string // IDs of the shared parts of the prompt, of an attempt that failed
	PromptTokens     float64
	RetryAfter       time.Duration
	Returning        bool // the caller was presumably refused before
	Route            string
	Status           int
	Stop             tgdrain.Decision // whether the stopping server took the request; the zero value if it did not stop
	TimeToFirstEvent time.Duration    // from the arrival of the request, of a stream
	Tokens           float64          // of the answer
	Upstream         string
	UpstreamLoad     float64       // of the entry on the upstream before the last attempt, in streams
	Waited           time.Duration // for a place
}

// Observer receives the events of the proxy; it must not block.
type Observer interface {
	// Request receives the final outcome of a request.
	Request(e Event)
	// Attempt receives the result of an attempt that did not end its request.
	Attempt(e Event)
}
