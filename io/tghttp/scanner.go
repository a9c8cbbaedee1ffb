package tghttp

import (
	"bytes"
	"strings"
)

// scanState is the part of an answer that an AnswerScanner is in.
type scanState string

const (
	scanStatusLine scanState = ""          // the next line is a status line
	scanHeader     scanState = "header"    // the next line belongs to a head
	scanChunkSize  scanState = "chunkSize" // the next line has the size of a chunk
	scanChunkData  scanState = "chunkData" // bytes of a chunk are next
	scanChunkEnd   scanState = "chunkEnd"  // the next line is the empty one behind a chunk
	scanTrailer    scanState = "trailer"   // the next line belongs to the trailer
	scanDone       scanState = "done"      // nothing is left to check
)

// maxScannedBytes is how much of a line an AnswerScanner keeps: what a line with the size of a chunk may have, and more than
// a version, a status and the spaces around it, or a transfer coding.
const maxScannedBytes = maxChunkLineBytes

// AnswerScanner checks the status lines and the names of header and trailer fields in the answers to a request. It stands
// before parsers that accept what HTTP does not allow: fasthttp takes the status 000 for 200, drops blanks behind a name,
// joins a line that begins with a blank to the one before it, and keeps names with a blank inside. The zero value is for a
// first request.
type AnswerScanner struct {
	chunkLeft     int64  // bytes of the present chunk
	informational bool   // another answer to the request follows the present head
	isChunked     bool   // the body after the present head comes in chunks
	line          []byte // start of the present line, maxScannedBytes at most
	name          nameScanner
	state         scanState
}

// Reset prepares the scanner for the answer to the next request.
func (s *AnswerScanner) Reset() { *s = AnswerScanner{line: s.line[:0]} }

// Scan checks the next bytes of the answer. It returns a SyntaxError at the bytes that end an invalid line.
func (s *AnswerScanner) Scan(b []byte) error {
	for s.state != scanDone && len(b) > 0 {
		if s.state == scanChunkData {
			b = s.skipChunkData(b)
			continue
		}
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxScannedBytes-len(s.line))]...)
		s.name.scan(part)
		if !ended {
			return nil
		}
		b = rest
		if err := s.endLine(bytes.TrimSuffix(s.line, []byte("\r"))); err != nil {
			return err
		}
		s.line, s.name = s.line[:0], nameScanner{}
	}
	return nil
}

// skipChunkData returns what follows the present chunk in b.
func (s *AnswerScanner) skipChunkData(b []byte) []byte {
	n := min(int64(len(b)), s.chunkLeft)
	if s.chunkLeft -= n; s.chunkLeft == 0 {
		s.state = scanChunkEnd
	}
	return b[n:]
}

// endLine checks a line, which may be cut after maxScannedBytes.
func (s *AnswerScanner) endLine(line []byte) error {
	switch s.state {
	case scanStatusLine:
		return s.endStatusLine(line)
	case scanHeader, scanTrailer:
		return s.endField(line)
	case scanChunkSize:
		s.endChunkSize(line)
	default:
		s.state = scanChunkSize // the parser refuses other bytes than a line end behind a chunk
	}
	return nil
}

func (s *AnswerScanner) endStatusLine(line []byte) error {
	if len(line) == 0 { // fasthttp skips empty lines before a status line
		return nil
	}
	_, status, _, err := parseStatusLine(string(line))
	if err != nil {
		return err
	}
	s.state, s.isChunked = scanHeader, false
	s.informational = status <= maxStatusInformational
	return nil
}

// endField ends a line of a head or trailer; an empty one ends that.
func (s *AnswerScanner) endField(line []byte) error {
	if len(line) > 0 {
		if !s.name.isValid() {
			return errFieldName()
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(string(name), "Transfer-Encoding") {
			s.isChunked = isChunked(string(bytes.Trim(value, " \t")))
		}
		return nil
	}
	switch {
	case s.state == scanTrailer:
		s.state = scanDone
	case s.informational:
		s.state = scanStatusLine
	case s.isChunked:
		s.state = scanChunkSize
	default:
		s.state = scanDone
	}
	return nil
}

// endChunkSize ends the line before a chunk. Where it has no valid size, the parser refuses the answer.
func (s *AnswerScanner) endChunkSize(line []byte) {
	var err error
	s.chunkLeft, err = parseChunkSize(string(line))
	switch {
	case err != nil:
		s.state = scanDone
	case s.chunkLeft == 0:
		s.state = scanTrailer
	default:
		s.state = scanChunkData
	}
}

// nameScanner checks the field name of a line.
type nameScanner struct {
	ended   bool // the colon behind the name was reached
	invalid bool // a byte of the name is not allowed
	length  int  // in bytes
}

// scan checks the next bytes of the line.
func (n *nameScanner) scan(part []byte) {
	if n.ended {
		return
	}
	name, _, ended := bytes.Cut(part, []byte(":"))
	n.ended = ended
	n.length += len(name)
	for _, c := range name {
		n.invalid = n.invalid || !isTokenByte(c)
	}
}

func (n *nameScanner) isValid() bool { return n.ended && !n.invalid && n.length > 0 }
