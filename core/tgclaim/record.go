// Package tgclaim derives from the log which process has claimed a request that is not idempotent, and its recorded answer.
package tgclaim

import (
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgframe"
)

// StreamPrefix begins the names of the claims streams; the name of the pool follows.
const StreamPrefix = "claims-"

// Claim is the body of a claim record; the record's ID is the claim's ID.
type Claim struct {
	Digest      Digest    `cbor:"digest"`
	Holder      string    `cbor:"holder"`
	Incarnation uuid.UUID `cbor:"incarnation"`
	Key         Key       `cbor:"key"`
	KeyTime     time.Time `cbor:"keyTime"`
}

// Release is the body of a release record: no request was or will be run under the claim.
type Release struct {
	Claim uuid.UUID `cbor:"claim"`
	Key   Key       `cbor:"key"`
}

// Result is the body of a result record: the answer of the request that ran under the claim.
type Result struct {
	Body  []byte       `cbor:"body"`
	Claim uuid.UUID    `cbor:"claim"`
	Head  tgframe.Head `cbor:"head"`
	Key   Key          `cbor:"key"`
}
