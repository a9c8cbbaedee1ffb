package tghttp

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	maxChunkLineBytes = 256 // bounds a chunk's size line with its extensions and the line end before it
	maxTrailerBytes   = 8 << 10
	minBodyBuffer     = 512      // bytes, of a body of unknown length
	maxFirstBuffer    = 64 << 10 // bytes, of a body of known length, which may end early
)

// Body reads the body of a message and records whether it was read to its end.
type Body struct {
	br           *bufio.Reader
	complete     bool
	framing      Framing
	remaining    int64 // unread bytes of the body, or of the current chunk if it is chunked
	chunkStarted bool  // the first chunk's size line was reached
}

// NewBody returns the body that follows a head on br.
func NewBody(br *bufio.Reader, framing Framing, length int64) *Body {
	b := &Body{br: br, framing: framing, remaining: length}
	if framing == FramingChunked {
		b.remaining = 0
	}
	b.complete = framing == FramingNone || framing == FramingLength && length == 0
	return b
}

// Complete reports whether the end of the body was read.
func (b *Body) Complete() bool { return b.complete }

// Read implements io.Reader. It returns io.EOF only at the end of the body, and io.ErrUnexpectedEOF if the connection
// ends earlier.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.framing == FramingClose {
		n, err := b.br.Read(p)
		b.complete = errors.Is(err, io.EOF)
		return n, err
	}
	if b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
		if b.complete {
			return 0, io.EOF
		}
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining == 0 && b.framing == FramingLength {
		b.complete = true
	}
	if err != nil && !b.complete {
		return n, unexpectedEOF(err)
	}
	return n, nil
}

// unexpectedEOF turns an end of the connection into io.ErrUnexpectedEOF; other errors stay.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextChunk reads the line end behind the previous chunk and the size line of the next one, and after the last chunk
// the trailer.
func (b *Body) nextChunk() error {
	lineBudget := maxChunkLineBytes
	if b.chunkStarted {
		line, err := readLine(b.br, &lineBudget)
		if err != nil {
			return err
		}
		if line != "" {
			return syntaxError(statusBadRequest, "chunk data exceeds the declared chunk size")
		}
	}
	b.chunkStarted = true
	line, err := readLine(b.br, &lineBudget)
	if err != nil {
		return err
	}
	if b.remaining, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.remaining > 0 {
		return nil
	}
	trailerBudget := maxTrailerBytes
	if _, err := readHeader(b.br, &trailerBudget); err != nil {
		return err
	}
	b.complete = true
	return nil
}

// parseChunkSize returns the size of a chunk as the line before it states it.
func parseChunkSize(line string) (int64, error) {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	if size == "" || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
		return 0, syntaxError(statusBadRequest, "chunk size is not a valid hexadecimal number")
	}
	n, err := strconv.ParseInt(size, 16, 63)
	if err != nil {
		return 0, syntaxError(statusBadRequest, "chunk size is not a valid hexadecimal number")
	}
	return n, nil
}

// Reserver grants memory for bodies.
type Reserver interface {
	// Reserve asks for n more bytes; an error means that they are not granted.
	Reserve(n int) error
}

// ReadAll reads a whole body of at most limit bytes; a longer one is a SyntaxError with status 413.
func (b *Body) ReadAll(limit int64) ([]byte, error) { return b.ReadAllReserved(limit, nil) }

// ReadAllReserved is like ReadAll and asks r for the memory before it is allocated. It returns the error of r.
func (b *Body) ReadAllReserved(limit int64, r Reserver) ([]byte, error) {
	if b.framing == FramingLength && b.remaining > limit {
		return nil, syntaxError(statusTooLarge, "body is longer than %d bytes", limit)
	}
	if b.complete {
		return nil, nil
	}
	size := int64(minBodyBuffer)
	if b.framing == FramingLength {
		size = b.remaining
	}
	var data []byte
	for grow := int(min(size, maxFirstBuffer)); ; {
		if len(data) == cap(data) {
			if r != nil {
				if err := r.Reserve(grow); err != nil {
					return data, err
				}
			}
			data = append(make([]byte, 0, len(data)+grow), data...)
			grow = len(data) + grow // doubles the buffer the next time
		}
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, syntaxError(statusTooLarge, "body is longer than %d bytes", limit)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if b.complete {
			return data, nil
		}
	}
}

// Discard reads the body to its end without keeping it; a body of more than limit bytes is a SyntaxError.
func (b *Body) Discard(limit int64) error {
	var buf [minBodyBuffer]byte
	for total := int64(0); !b.complete; {
		n, err := b.Read(buf[:])
		if total += int64(n); total > limit {
			return syntaxError(statusTooLarge, "body is longer than %d bytes", limit)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return nil
}
