package tgprefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Block is the hash of a part of a prompt and everything that precedes it.
type Block uint64

// Blocks returns the blocks of size bytes of a prompt. An incomplete last block is left out, since upstreams do not cache
// it.
func Blocks(prompt []byte, size int) []Block {
	blocks := make([]Block, 0, len(prompt)/size)
	var previous [8]byte
	for ; len(prompt) >= size; prompt = prompt[size:] {
		d := xxhash.New()
		_, _ = d.Write(previous[:])
		_, _ = d.Write(prompt[:size])
		sum := d.Sum64()
		blocks = append(blocks, Block(sum))
		binary.LittleEndian.PutUint64(previous[:], sum)
	}
	return blocks
}
