// Package tgrecord has the envelope of records in the log, with their encoding and their positions in a stream.
package tgrecord

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// Kind is the type of a record's body.
type Kind string

// Kinds of records, sorted.
const (
	KindClaim        Kind = "claim"
	KindClaimRelease Kind = "claimRelease"
	KindClaimResult  Kind = "claimResult"
	KindConfigChange Kind = "configChange"
	KindLeaseClaim   Kind = "leaseClaim"
	KindLeaseRelease Kind = "leaseRelease"
	KindLeaseRenew   Kind = "leaseRenew"
	KindSnapshot     Kind = "snapshot"
)

// Record is one entry of a stream; one append may hold several.
type Record struct {
	Base   uint64          `cbor:"base"` // highest offset that the writer had applied
	Body   cbor.RawMessage `cbor:"body"`
	ID     uuid.UUID       `cbor:"id"` // chosen by the writer; readers ignore a record whose ID they have seen
	Kind   Kind            `cbor:"kind"`
	Writer string          `cbor:"writer"`
}

// New returns a record with a new UUIDv7 and the encoded body.
func New(kind Kind, writer string, base uint64, body any) (Record, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode body of %s record", kind)
	}
	id, err := uuid.NewV7()
	if err != nil {
		return Record{}, errors.Wrap(err, "make record ID")
	}
	return Record{Base: base, Body: raw, ID: id, Kind: kind, Writer: writer}, nil
}

// Decode decodes the body of r as a T.
func Decode[T any](r Record) (T, error) {
	var body T
	if err := cbor.Unmarshal(r.Body, &body); err != nil {
		return body, errors.Wrapf(err, "decode body of %s record %s", r.Kind, r.ID)
	}
	return body, nil
}
