package tgfleet

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgera"
	"tanagergrade/core/tglogtable"
)

// Role is the role of a daemon.
type Role string

// The roles of daemons: an entry serves callers, a companion runs on the VM of an upstream.
const (
	RoleCompanion Role = "companion"
	RoleEntry     Role = "entry"
)

// Member is the registration of a daemon.
type Member struct {
	Address       netip.AddrPort `cbor:"1,keyasint"` // of datagrams and of the admin server
	DataCentre    string         `cbor:"2,keyasint"`
	EngineAddress netip.AddrPort `cbor:"3,keyasint"` // on the same VM; zero if there is none
	Role          Role           `cbor:"4,keyasint"`
	Started       time.Time      `cbor:"5,keyasint"`
	VM            string         `cbor:"-"` // key of the registration
}

// Encode returns the value of a registration.
func (m Member) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMember reads a registration.
func DecodeMember(r tglogtable.Record) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(r.Value, &m); err != nil {
		return Member{}, errors.Wrapf(err, "registration of %q", r.Key)
	}
	m.VM = r.Key
	return m, nil
}

// Gossip is the datagram that entries send each other. Eras are 0 from earlier versions.
type Gossip struct {
	Era          tgera.Era      `cbor:"7,keyasint,omitempty"` // of OperatorEnd
	Following    bool           `cbor:"1,keyasint"`           // the sender receives all changes of the operator's topic from the store
	Keeps        bool           `cbor:"8,keyasint,omitempty"` // the sender holds records of the operator that the store has lost
	OperatorEnd  int64          `cbor:"3,keyasint"`
	Streams      map[string]int `cbor:"6,keyasint"` // in progress, by pool
	UpstreamsEnd int64          `cbor:"4,keyasint"`
	UpstreamsEra tgera.Era      `cbor:"9,keyasint,omitempty"` // of UpstreamsEnd
	VM           string         `cbor:"5,keyasint"`
}

// Tables is the answer to a peer that pulls the tables. Eras are 0 from earlier versions.
type Tables struct {
	Era          tgera.Era           `cbor:"6,keyasint,omitempty"` // of OperatorEnd
	Following    bool                `cbor:"1,keyasint"`
	Kept         []tglogtable.Kept   `cbor:"7,keyasint,omitempty"` // records of the operator that the store has lost
	Operator     []tglogtable.Record `cbor:"2,keyasint"`
	OperatorEnd  int64               `cbor:"3,keyasint"`
	Upstreams    []tglogtable.Record `cbor:"4,keyasint"`
	UpstreamsEnd int64               `cbor:"5,keyasint"`
	UpstreamsEra tgera.Era           `cbor:"8,keyasint,omitempty"` // of UpstreamsEnd
}

// peerPosition returns the position of an offset that a peer sent. Peers of an earlier version say no era; theirs counts as
// that of the own table, which ends at own.
func peerPosition(era tgera.Era, offset int64, own tglogtable.Position) tglogtable.Position {
	if era == 0 {
		era = own.Era
	}
	return tglogtable.Position{Era: era, Offset: offset}
}
