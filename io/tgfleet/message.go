package tgfleet

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgfold"
)

// Role says what a daemon does.
type Role string

// Roles.
const (
	RoleCompanion Role = "companion"
	RoleEntry     Role = "entry"
)

// Member is a daemon that registered itself.
type Member struct {
	Address       netip.AddrPort `cbor:"1,keyasint"` // of datagrams and of the admin server
	DataCentre    string         `cbor:"2,keyasint"`
	EngineAddress netip.AddrPort `cbor:"3,keyasint"` // on the same VM; zero if there is none
	Role          Role           `cbor:"4,keyasint"`
	Started       time.Time      `cbor:"5,keyasint"`
	VM            string         `cbor:"-"` // is the key
}

// Encode returns the value of a registration.
func (m Member) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMember reads a registration.
func DecodeMember(r tgfold.Record) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(r.Value, &m); err != nil {
		return Member{}, errors.Wrapf(err, "registration of %q", r.Key)
	}
	m.VM = r.Key
	return m, nil
}

// Gossip is the datagram that entries send each other.
type Gossip struct {
	Following   bool  `cbor:"1,keyasint"` // the store tells the sender of each change of the operator
	OperatorEnd int64 `cbor:"3,keyasint"`
	// Streams has the streams in progress by pool.
	Streams      map[string]int `cbor:"6,keyasint"`
	UpstreamsEnd int64          `cbor:"4,keyasint"`
	VM           string         `cbor:"5,keyasint"`
}

// Tables is the answer to a peer that asks for the tables.
type Tables struct {
	Following    bool            `cbor:"1,keyasint"`
	Operator     []tgfold.Record `cbor:"2,keyasint"`
	OperatorEnd  int64           `cbor:"3,keyasint"`
	Upstreams    []tgfold.Record `cbor:"4,keyasint"`
	UpstreamsEnd int64           `cbor:"5,keyasint"`
}
