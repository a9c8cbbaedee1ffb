// Package tglease derives leases and their fencing tokens from records in the log.
package tglease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// Stream is the log stream of leases.
const Stream = "leases"

// Token is a fencing token: the position of the granted claim in the log, so a later holder's token is higher.
type Token uint64

// Claim is the body of a claim of one lease.
type Claim struct {
	Duration time.Duration `cbor:"duration"`
	Holder   Holder        `cbor:"holder"`
	Name     string        `cbor:"name"`
}

// Holder identifies one incarnation of a process.
type Holder struct {
	Incarnation uuid.UUID `cbor:"incarnation" json:"incarnation"`
	Process     string    `cbor:"process" json:"process"`
}

// HeldLease is one lease in a renewal. It carries all that is needed by a reader that started after the claim had left the
// log's retention.
type HeldLease struct {
	Duration time.Duration `cbor:"duration"`
	Name     string        `cbor:"name"`
	Token    Token         `cbor:"token"`
}

// Renewal is the body of a renewal of all leases of a holder.
type Renewal struct {
	Holder Holder      `cbor:"holder"`
	Leases []HeldLease `cbor:"leases"`
}

// Release is the body of a release of leases.
type Release struct {
	Holder Holder   `cbor:"holder"`
	Names  []string `cbor:"names"`
}

// Lease is the state of one lease according to the log.
type Lease struct {
	Duration time.Duration `json:"duration"`
	Free     bool          `json:"free"` // released by its last holder
	Holder   Holder        `json:"holder"`
	Offset   uint64        `json:"offset"` // offset of the last accepted record about this lease plus one
	Token    Token         `json:"token"`  // never decreases, not even when Free
}

// Verdict is the outcome of a claim.
type Verdict string

// Verdicts on claims.
const (
	Granted Verdict = "granted"
	Refused Verdict = "refused"
)

// maxRecordAge bounds how far, in offsets, a record may be from its base; one further from it is ignored. It
// is far below the log's retention, so a reader that starts at the first retained record reaches the same verdicts as
// all others.
const maxRecordAge = 1000

// maxBatch bounds the records of one append. Tokens of consecutive appends are this far apart, so that no two claims get
// the same token; records beyond the bound are ignored.
const maxBatch = 1 << 10

// Table holds the leases that result from the leases stream; every reader of the same records gets the same Table.
type Table struct {
	applied   uint64                 // offset after the last append applied; never decreases
	decisions map[uuid.UUID]decision // on recent claims, by record ID
	leases    map[string]Lease
}

type decision struct {
	offset  uint64 // of the claim
	verdict Verdict
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{decisions: map[uuid.UUID]decision{}, leases: map[string]Lease{}}
}

// Applied returns the offset after the last append applied.
func (t *Table) Applied() uint64 { return t.applied }

// All returns a copy of all leases by name.
func (t *Table) All() map[string]Lease { return maps.Clone(t.leases) }

// Get returns the lease with the given name.
func (t *Table) Get(name string) (Lease, bool) {
	l, ok := t.leases[name]
	return l, ok
}

// Verdict returns the verdict on the claim with the given record ID.
func (t *Table) Verdict(id uuid.UUID) (Verdict, bool) {
	d, ok := t.decisions[id]
	return d.verdict, ok
}

// Apply applies the records of one append; an append that was applied before is ignored.
func (t *Table) Apply(offset uint64, records []tgrecord.Record) error {
	if offset < t.applied {
		return nil
	}
	t.applied = offset + 1
	var err error
	for i, r := range records[:min(len(records), maxBatch)] {
		if r.Base+maxRecordAge > offset && r.Base <= offset {
			err = errors.CombineErrors(err, t.applyRecord(offset, i, r))
		}
	}
	maps.DeleteFunc(t.decisions, func(_ uuid.UUID, d decision) bool { return d.offset+maxRecordAge <= offset })
	return err
}

func (t *Table) applyRecord(offset uint64, index int, r tgrecord.Record) error {
	switch r.Kind {
	case tgrecord.KindLeaseClaim:
		c, err := tgrecord.Decode[Claim](r)
		if err != nil {
			return err
		}
		t.applyClaim(offset, index, r, c)
	case tgrecord.KindLeaseRelease:
		c, err := tgrecord.Decode[Release](r)
		if err != nil {
			return err
		}
		t.applyRelease(offset, c)
	case tgrecord.KindLeaseRenew:
		c, err := tgrecord.Decode[Renewal](r)
		if err != nil {
			return err
		}
		t.applyRenewal(offset, c)
	default:
	}
	return nil
}

// applyClaim grants the lease if the claimer had applied the last record about it: compare and set.
func (t *Table) applyClaim(offset uint64, index int, r tgrecord.Record, c Claim) {
	if _, ok := t.decisions[r.ID]; ok {
		return
	}
	if old, ok := t.leases[c.Name]; ok && r.Base < old.Offset {
		t.decisions[r.ID] = decision{offset: offset, verdict: Refused}
		return
	}
	t.decisions[r.ID] = decision{offset: offset, verdict: Granted}
	t.leases[c.Name] = Lease{
		Duration: c.Duration, Holder: c.Holder, Offset: offset + 1, Token: Token(offset*maxBatch + uint64(index) + 1),
	}
}

func (t *Table) applyRelease(offset uint64, c Release) {
	for _, name := range c.Names {
		if l, ok := t.leases[name]; ok && l.Holder == c.Holder {
			l.Free, l.Offset = true, offset+1
			t.leases[name] = l
		}
	}
}

func (t *Table) applyRenewal(offset uint64, c Renewal) {
	for _, h := range c.Leases {
		l, ok := t.leases[h.Name]
		switch {
		case !ok || h.Token > l.Token:
			// The claim preceded the first record that this reader applied.
			t.leases[h.Name] = Lease{Duration: h.Duration, Holder: c.Holder, Offset: offset + 1, Token: h.Token}
		case l.Holder == c.Holder && l.Token == h.Token && !l.Free:
			l.Offset = offset + 1
			t.leases[h.Name] = l
		}
	}
}

// HeldBy returns the leases of holder, sorted by name.
func (t *Table) HeldBy(holder Holder) []HeldLease {
	var held []HeldLease
	for name, l := range t.leases {
		if l.Holder == holder && !l.Free {
			held = append(held, HeldLease{Duration: l.Duration, Name: name, Token: l.Token})
		}
	}
	slices.SortFunc(held, func(a, b HeldLease) int { return strings.Compare(a.Name, b.Name) })
	return held
}
