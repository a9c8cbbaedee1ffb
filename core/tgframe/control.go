package tgframe

import (
	"net/netip"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// MemberStatus is the state of a member as another daemon sees it.
type MemberStatus string

// Statuses of members, sorted.
const (
	MemberAlive   MemberStatus = "alive"   // a heartbeat or call succeeded
	MemberDead    MemberStatus = "dead"    // suspicion was not refuted
	MemberLeaving MemberStatus = "leaving" // the VM list says so
	MemberListed  MemberStatus = "listed"  // only the VM list says that it lives
	MemberSuspect MemberStatus = "suspect" // direct and indirect probes failed
)

// Member is one daemon in a member update.
type Member struct {
	Address     netip.AddrPort `cbor:"a"`
	DataCentre  string         `cbor:"d"`
	Generation  uint64         `cbor:"g"`           // grows from one process of this name to the next
	Incarnation uint32         `cbor:"i,omitempty"` // grows when the process refutes a suspicion
	Name        string         `cbor:"n"`
	Status      MemberStatus   `cbor:"s"`
}

// MarkKind says what a volatile mark removes.
type MarkKind string

// Kinds of volatile marks, sorted.
const (
	MarkDrain    MarkKind = "drain"    // an upstream
	MarkWithdraw MarkKind = "withdraw" // a data centre
)

// Mark removes capacity while the log is down.
type Mark struct {
	Base uint64    `cbor:"base"` // configuration offset that the writer had applied
	ID   uuid.UUID `cbor:"id"`   // ID of the change that will record the mark in the log
	Kind MarkKind  `cbor:"kind"`
	Name string    `cbor:"name"` // upstream or data centre
}

// Confirmation says that no configuration record at or after Offset existed Age ago.
type Confirmation struct {
	Age    time.Duration `cbor:"a"`
	Offset uint64        `cbor:"o"`
}

// Gossip is the state that two daemons compare. Ages are durations, since clocks differ.
type Gossip struct {
	Confirmation *Confirmation            `cbor:"c,omitempty"`
	DataCentre   string                   `cbor:"d"`
	Entries      []LogEntry               `cbor:"e,omitempty"` // all that the log has from From on to the sender's offset
	EntriesFrom  uint64                   `cbor:"f,omitempty"`
	Generation   uint64                   `cbor:"g"`
	MarkDigest   uint64                   `cbor:"h,omitempty"` // digest of all marks in force
	Marks        []Mark                   `cbor:"k,omitempty"` // all marks in force, if the receiver may lack some
	Members      []Member                 `cbor:"m,omitempty"`
	Incarnation  uint32                   `cbor:"i,omitempty"` // incarnation of the sender
	ContactAges  map[string]time.Duration `cbor:"r,omitempty"` // age of the last contact with each data centre
}

// LogEntry is one append of the configuration stream.
type LogEntry struct {
	Age     time.Duration     `cbor:"age,omitempty"` // since a daemon read it from the log
	Offset  uint64            `cbor:"offset"`
	Records []tgrecord.Record `cbor:"records"`
}

// Fetch asks for configuration records from an offset on.
type Fetch struct {
	From uint64 `cbor:"from"`
}

// FetchResult answers Fetch. With neither Entries nor Snapshot, the sender has nothing newer or is busy.
type FetchResult struct {
	Busy     bool       `cbor:"busy,omitempty"`
	Entries  []LogEntry `cbor:"entries,omitempty"`
	Snapshot []byte     `cbor:"snapshot,omitempty"` // folded state, if From is older than the kept records
}

// Probe asks the receiver to contact Target; the answer sets Reached.
type Probe struct {
	Reached bool           `cbor:"reached,omitempty"`
	Target  netip.AddrPort `cbor:"target"`
}

// Append asks the log writer of a data centre to append records, or is its answer.
type Append struct {
	Failure string            `cbor:"failure,omitempty"` // of an answer; the records may have been appended
	Offset  uint64            `cbor:"offset,omitempty"`  // of an answer
	Records []tgrecord.Record `cbor:"records,omitempty"`
	Stream  string            `cbor:"stream,omitempty"`
}
