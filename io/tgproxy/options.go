// Package tgproxy takes callers' requests over HTTP/1.1 and passes them to upstreams: it routes, admits, retries,
// resumes streams and answers. It learns names of headers and the catalog from its owner.
package tgproxy

import (
	"time"

	"tanagergrade/core/tgcatalog"
)

// Headers names the headers that the proxy reads or sets.
type Headers struct {
	Account        string // set for upstreams: the client account of the key
	AttemptID      string // of the caller's attempt; upstreams echo it
	DeadlineMs     string // milliseconds that the caller will wait
	FailedUpstream string // upstream that made a group fail
	Key            string // the caller's key; not passed on
	LastEventID    string // last event that the caller has
	NotExecuted    string // set by upstreams that did not run the request
	Priority       string // set for upstreams: 0 is admitted first
	Signature      string // of an upstream's own answer
	TargetID       string // set for upstreams: the incarnation that may run the request
	TokenCounts    string // prompt tokens and most output tokens
}

// Catalog is what the proxy knows of the deployment.
type Catalog interface {
	// Config returns the accepted configuration, or nil if none is known, and whether it is known to be current.
	Config() (c *tgcatalog.Config, current bool)
	// EntryCount returns how many daemons may take callers' requests at the same time, this one included.
	EntryCount() int
	// Slowdown returns how many times as long as usual an upstream takes for its work, as far as it is known to be slow.
	Slowdown(u *tgcatalog.Upstream) float64
	// RemoteStreams returns how many streams the other daemons have in progress in a pool.
	RemoteStreams(pool string) int
	// Upstreams returns the upstreams of a pool that may get new work.
	Upstreams(pool string) []tgcatalog.Upstream
}

// Limits are the bounds that all entries keep together.
type Limits struct {
	DrainGrace      time.Duration
	RetryBurst      float64
	RetryRatio      float64
	RetryWindow     time.Duration
	ShutdownReserve time.Duration // part of DrainGrace kept for ending the process
}

// Event is one decision about a request, for the log.
type Event struct {
	Account          string
	Attempts         int
	ConfigVersion    int64
	Detail           string
	Elapsed          time.Duration
	TimeToFirstEvent time.Duration // of a stream, after its request
	ID               string
	InFlight         int
	LongestPause     time.Duration // between events of a stream
	Outcome          string
	PeakGap          time.Duration // longest pause between events that the limit rests on
	Limit            float64
	Pool             string
	RetryAfter       time.Duration
	Route            string
	Status           int
	Upstream         string
}

// Observer takes the events of the proxy; it must not block.
type Observer interface {
	// Request takes the final decision about a request.
	Request(e Event)
	// Attempt takes the result of an attempt that did not end its request.
	Attempt(e Event)
}
