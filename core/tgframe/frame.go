// Package tgframe has the messages that daemons exchange.
package tgframe

import (
	"net/netip"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgcall"
)

// Kind is the type of a frame.
type Kind string

// Kinds of frames, sorted.
const (
	KindAccepted    Kind = "accepted"
	KindAppend      Kind = "append"
	KindAttach      Kind = "attach"
	KindCancel      Kind = "cancel"
	KindChunk       Kind = "chunk"
	KindEnd         Kind = "end"
	KindExecute     Kind = "execute"
	KindFetch       Kind = "fetch"
	KindFetchResult Kind = "fetched"
	KindGossip      Kind = "gossip"
	KindHead        Kind = "head"
	KindProbe       Kind = "probe"
	KindProgress    Kind = "progress"
	KindRank        Kind = "rank"
)

// Frame is one message of an exchange; the field named by Kind is set. A frame of an answer also carries the preceding
// parts that are ready at the same time: a chunk may come with the head, an end with the last chunks and the head.
type Frame struct {
	Append      *Append      `cbor:"append,omitempty"`
	Attach      *Attach      `cbor:"attach,omitempty"`
	Attempt     [16]byte     `cbor:"attempt,omitzero"` // UUID, set on replies; an array is encoded without an allocation
	Cancel      *Cancel      `cbor:"cancel,omitempty"`
	Chunk       *Chunk       `cbor:"chunk,omitempty"`
	End         *End         `cbor:"end,omitempty"`
	Execute     *Execute     `cbor:"execute,omitempty"`
	Fetch       *Fetch       `cbor:"fetch,omitempty"`
	FetchResult *FetchResult `cbor:"fetched,omitempty"`
	Gossip      *Gossip      `cbor:"gossip,omitempty"`
	Head        *Head        `cbor:"head,omitempty"`
	Kind        Kind         `cbor:"kind"`
	Probe       *Probe       `cbor:"probe,omitempty"`
	Progress    *Progress    `cbor:"progress,omitempty"` // also set if Kind is accepted
	Rank        *RankMessage `cbor:"rank,omitempty"`
	Sender      *Sender      `cbor:"sender,omitempty"` // set on the first frame of each direction
}

// Sender identifies the process that sent a frame.
type Sender struct {
	Address     netip.AddrPort `cbor:"address"` // where the sender accepts exchanges; a receiver that is behind fetches from it
	Applied     uint64         `cbor:"applied"` // highest configuration offset applied
	Incarnation uuid.UUID      `cbor:"incarnation"`
	Name        string         `cbor:"name"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"name"`
	Value string `cbor:"value"`
}

// Execute asks a companion to run one attempt of a request.
type Execute struct {
	Account         string          `cbor:"account"`
	Attempt         uuid.UUID       `cbor:"attempt"`
	Body            []byte          `cbor:"body"`
	Deadline        time.Time       `cbor:"deadline"`
	DeliveredEvents int             `cbor:"delivered,omitempty"` // events that the caller already has; the upstream resumes after them
	Headers         []Header        `cbor:"headers,omitempty"`
	Idempotent      bool            `cbor:"idempotent"`
	IdempotencyKey  string          `cbor:"idempotencyKey,omitempty"` // set if not Idempotent
	Method          string          `cbor:"method"`
	Path            string          `cbor:"path"`
	Pool            string          `cbor:"pool"`
	Priority        tgcall.Priority `cbor:"priority"`
	RequestID       string          `cbor:"request"` // the same for all attempts of the request
	Stream          bool            `cbor:"stream"`
	Upstream        string          `cbor:"upstream"`
	ExpectedTokens  int             `cbor:"work"` // for admission
}

// Attach asks a companion to continue an attempt over a new connection.
type Attach struct {
	Attempt  uuid.UUID `cbor:"attempt"`
	Deadline time.Time `cbor:"deadline"` // of the attempt; an execute frame that arrives after it is refused
	Next     uint64    `cbor:"next"`     // sequence number of the next chunk wanted
}

// Cancel asks a companion to stop an attempt.
type Cancel struct {
	Attempt  uuid.UUID `cbor:"attempt"`
	Deadline time.Time `cbor:"deadline"` // of the attempt; an execute frame that arrives after it is refused
}

// Load is the load of an upstream, as reported by its companion. The state dump shows it under these field names.
type Load struct {
	InFlight int `cbor:"inFlight"` // admitted attempts
	Limit    int `cbor:"limit"`    // concurrency limit: admitted attempts allowed now
	Queued   int `cbor:"queued"`   // waiting attempts
	Work     int `cbor:"work"`     // expected tokens of admitted and waiting attempts
}

// Progress is a heartbeat of an attempt.
type Progress struct {
	Load    Load   `cbor:"load"`
	Next    uint64 `cbor:"next"` // sequence number of the next chunk to be produced
	Running bool   `cbor:"running"`
}

// Head is the status and headers of an answer.
type Head struct {
	Headers []Header `cbor:"headers,omitempty"`
	Status  int      `cbor:"status"`
}

// Chunk is one or more consecutive parts of an answer's body.
type Chunk struct {
	Data     []byte `cbor:"data"`
	Sequence uint64 `cbor:"sequence"`        // of the first part; starts at 0 and has no gaps
	Sizes    []int  `cbor:"sizes,omitempty"` // sizes in bytes of the parts in Data; empty if there is one part
}

// End is the terminal marker of an attempt.
type End struct {
	Failure  *tgcall.Failure `cbor:"failure,omitempty"` // nil if Outcome is answered
	Load     Load            `cbor:"load"`
	Outcome  tgcall.Outcome  `cbor:"outcome"`
	Replayed bool            `cbor:"replayed,omitempty"` // the answer was recorded by an earlier call
	Total    uint64          `cbor:"total"`              // number of chunks of the whole answer
	Unseen   *UnseenAttempt  `cbor:"unseen,omitempty"`   // set if the companion has not seen the attempt
}

// UnseenAttempt states that a companion has not seen an attempt since it started and will refuse it from now on.
// If the companion started before the attempt was sent, the attempt was not run and will not be.
type UnseenAttempt struct {
	Uptime time.Duration `cbor:"uptime"` // since the companion started
}
