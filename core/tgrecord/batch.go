package tgrecord

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Position is the position of a record in its stream: the offset of its append and its index in that append.
type Position struct {
	Index  uint32 `cbor:"index"`
	Offset uint64 `cbor:"offset"`
}

// Before reports whether p comes before q.
func (p Position) Before(q Position) bool {
	if p.Offset != q.Offset {
		return p.Offset < q.Offset
	}
	return p.Index < q.Index
}

// EncodeBatch encodes the records of one append.
func EncodeBatch(records []Record) ([]byte, error) {
	data, err := cbor.Marshal(records)
	return data, errors.Wrap(err, "encode batch")
}

// DecodeBatch decodes the records of one append.
func DecodeBatch(data []byte) ([]Record, error) {
	var records []Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return nil, errors.Wrap(err, "decode batch")
	}
	return records, nil
}
