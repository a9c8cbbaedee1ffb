package tgframe

import (
	"net/netip"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgrecord"
)

// MemberStatus is the state of a member as seen by another daemon.
type MemberStatus string

// Statuses of members, sorted.
const (
	MemberAlive   MemberStatus = "alive"   // a heartbeat or call to it succeeded
	MemberDead    MemberStatus = "dead"    // it did not refute a suspicion in time
	MemberLeaving MemberStatus = "leaving" // the VM list reports that it is leaving
	MemberListed  MemberStatus = "listed"  // alive according to the VM list only
	MemberSuspect MemberStatus = "suspect" // direct and indirect probes of it failed
)

// Member is the entry of one daemon in a membership update. The state dump shows it under these field names.
type Member struct {
	Address     netip.AddrPort `cbor:"a"`
	DataCentre  string         `cbor:"d"`
	Generation  uint64         `cbor:"g"`           // increases from one process of this name to the next
	Incarnation uint32         `cbor:"i,omitempty"` // increases when the process refutes a suspicion
	Name        string         `cbor:"n"`
	Status      MemberStatus   `cbor:"s"`
}

// MarkKind is the kind of capacity that a volatile mark takes out of service.
type MarkKind string

// Kinds of volatile marks, sorted.
const (
	MarkDrain    MarkKind = "drain"    // of an upstream
	MarkWithdraw MarkKind = "withdraw" // of a data centre
)

// Mark takes an upstream or data centre out of service while the log, and so a configuration change, is unavailable.
// The state dump shows it under these field names.
type Mark struct {
	Base uint64    `cbor:"base"` // configuration offset that the author had applied
	ID   uuid.UUID `cbor:"id"`   // ID of the change that will record the mark in the log
	Kind MarkKind  `cbor:"kind"`
	Name string    `cbor:"name"` // upstream or data centre
}

// Confirmation states that Age ago there was no configuration record at or after Offset. The state dump shows it under
// these field names.
type Confirmation struct {
	Age    time.Duration `cbor:"a"`
	Offset uint64        `cbor:"o"`
}

// Gossip is the state that two daemons exchange. Ages are durations, since clocks differ between VMs.
type Gossip struct {
	Confirmation *Confirmation            `cbor:"c,omitempty"`
	DataCentre   string                   `cbor:"d"`
	Entries      []LogEntry               `cbor:"e,omitempty"` // all that the log has from EntriesFrom up to the sender's offset
	EntriesFrom  uint64                   `cbor:"f,omitempty"`
	Generation   uint64                   `cbor:"g"`
	MarkDigest   uint64                   `cbor:"h,omitempty"` // digest of all active marks; 0 if there are none
	Marks        []Mark                   `cbor:"k,omitempty"` // all active marks, if the receiver may lack some
	Members      []Member                 `cbor:"m,omitempty"`
	Incarnation  uint32                   `cbor:"i,omitempty"` // incarnation of the sender
	ContactAges  map[string]time.Duration `cbor:"r,omitempty"` // time since the last contact with each data centre
}

// LogEntry is one append to the configuration stream.
type LogEntry struct {
	Age     time.Duration     `cbor:"age,omitempty"` // time since a daemon read it from the log
	Offset  uint64            `cbor:"offset"`
	Records []tgrecord.Record `cbor:"records"`
}

// Fetch asks for configuration records from an offset on.
type Fetch struct {
	From uint64 `cbor:"from"`
}

// FetchResult is the answer to Fetch. If it has neither Entries nor Snapshot, the sender has nothing newer or, if
// Busy is set, is already sending as many snapshots as it may.
type FetchResult struct {
	Busy     bool       `cbor:"busy,omitempty"`
	Entries  []LogEntry `cbor:"entries,omitempty"`
	Snapshot []byte     `cbor:"snapshot,omitempty"` // folded state, if Fetch.From is older than the records that the sender keeps
}

// Probe asks the receiver to probe Target on behalf of the sender; the answer sets Reached.
type Probe struct {
	Reached bool           `cbor:"reached,omitempty"`
	Target  netip.AddrPort `cbor:"target"`
}

// Append is a request to the log writer of a data centre to append records, or its answer.
type Append struct {
	Failure string            `cbor:"failure,omitempty"` // of an answer; the records may have been appended
	Offset  uint64            `cbor:"offset,omitempty"`  // of an answer
	Records []tgrecord.Record `cbor:"records,omitempty"`
	Stream  string            `cbor:"stream,omitempty"`
}
