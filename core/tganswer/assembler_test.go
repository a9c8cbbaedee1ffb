package tganswer_test

import (
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgframe"
)

var (
	attemptID      = uuid.MustParse("00000000-0000-4000-8000-000000000001")
	otherAttemptID = uuid.MustParse("00000000-0000-4000-8000-000000000002")
)

func head() *tgframe.Frame {
	return &tgframe.Frame{Attempt: attemptID, Head: &tgframe.Head{Status: 200}, Kind: tgframe.KindHead}
}

func chunk(sequence uint64, parts ...string) *tgframe.Frame {
	c := &tgframe.Chunk{Data: []byte(strings.Join(parts, "")), Sequence: sequence}
	if len(parts) > 1 {
		for _, p := range parts {
			c.Sizes = append(c.Sizes, len(p))
		}
	}
	return &tgframe.Frame{Attempt: attemptID, Chunk: c, Kind: tgframe.KindChunk}
}

func end(total uint64) *tgframe.Frame {
	return &tgframe.Frame{Attempt: attemptID, End: &tgframe.End{Outcome: tgcall.Answered, Total: total}, Kind: tgframe.KindEnd}
}

func failure() *tgframe.Frame {
	f := end(0)
	f.End.Failure = tgcall.UnknownFailure(tgcall.CodeUpstreamLost, "lost")
	return f
}

func ofOtherAttempt(f *tgframe.Frame) *tgframe.Frame {
	f.Attempt = otherAttemptID
	return f
}

// drain returns the parts of the body that are ready and whether the end was reached.
func drain(a *tganswer.Assembler) (body string, ended bool) {
	for {
		p, ok := a.Next()
		if !ok {
			return body, false
		}
		if p.Kind == tganswer.PartEnd {
			return body, true
		}
		body += string(p.Chunk)
	}
}

// Guards against answers that are mixed up, truncated or repeated when frames are lost, repeated, reordered or belong
// to another attempt.
func TestAssemblerFaults(t *testing.T) {
	for name, row := range map[string]struct {
		frames     []*tgframe.Frame
		start      uint64
		body       string
		ended      bool
		impossible bool
		wanted     uint64
	}{
		"broken sizes":       {frames: []*tgframe.Frame{head(), {Attempt: attemptID, Chunk: &tgframe.Chunk{Data: []byte("a"), Sizes: []int{1, 9}}, Kind: tgframe.KindChunk}}, body: "a", wanted: 1},
		"coalesced":          {frames: []*tgframe.Frame{head(), chunk(0, "a", "b"), chunk(2, "c"), end(3)}, body: "abc", ended: true, wanted: 3},
		"coalesced overlap":  {frames: []*tgframe.Frame{head(), chunk(0, "a"), chunk(0, "a", "b", "c"), end(3)}, body: "abc", ended: true, wanted: 3},
		"other attempt":      {frames: []*tgframe.Frame{head(), chunk(0, "a"), ofOtherAttempt(chunk(1, "x")), ofOtherAttempt(end(1)), chunk(1, "b"), end(2)}, body: "ab", ended: true, wanted: 2},
		"other attempt end":  {frames: []*tgframe.Frame{head(), chunk(0, "a"), ofOtherAttempt(end(1))}, body: "a", wanted: 1},
		"duplicated":         {frames: []*tgframe.Frame{head(), head(), chunk(0, "a"), chunk(0, "a"), chunk(1, "b"), end(2), end(2)}, body: "ab", ended: true, wanted: 2},
		"empty answer":       {frames: []*tgframe.Frame{head(), end(0)}, ended: true},
		"end before chunks":  {frames: []*tgframe.Frame{head(), end(2), chunk(0, "a"), chunk(1, "b")}, body: "ab", ended: true, wanted: 2},
		"end too small":      {frames: []*tgframe.Frame{head(), chunk(0, "a", "b"), end(1)}, body: "ab", impossible: true, wanted: 2},
		"failure in between": {frames: []*tgframe.Frame{head(), chunk(0, "a"), failure()}, body: "a", ended: true, wanted: 1},
		"failure only":       {frames: []*tgframe.Frame{failure()}, ended: true},
		"head after chunk":   {frames: []*tgframe.Frame{chunk(0, "a"), head(), end(1)}, body: "a", ended: true, wanted: 1},
		"resumed":            {frames: []*tgframe.Frame{head(), chunk(0, "x"), chunk(5, "a"), end(6)}, start: 5, body: "a", ended: true, wanted: 6},
		"missing chunk":      {frames: []*tgframe.Frame{head(), chunk(0, "a"), chunk(2, "c"), end(3)}, body: "a", wanted: 1},
		"no end":             {frames: []*tgframe.Frame{head(), chunk(0, "a")}, body: "a", wanted: 1},
		"no head":            {frames: []*tgframe.Frame{chunk(0, "a"), end(1)}, impossible: true, wanted: 1},
		"reordered":          {frames: []*tgframe.Frame{chunk(2, "c"), chunk(1, "b"), head(), chunk(0, "a"), end(3)}, body: "abc", ended: true, wanted: 3},
	} {
		t.Run(name, func(t *testing.T) {
			a := tganswer.NewAssembler(attemptID, row.start)
			for _, f := range row.frames {
				a.Add(f)
			}
			body, ended := drain(a)
			assert.Equal(t, body, row.body)
			assert.Equal(t, ended, row.ended)
			assert.Equal(t, a.Inconsistent(), row.impossible)
			assert.Equal(t, a.FirstMissing(), row.wanted)
		})
	}
}

// Guards against orders, repetitions and losses of frames after which the delivered body is not a prefix of the answer,
// or the end is reached before the whole answer.
func TestAssemblerDeliversPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "chunks")
		whole := "abcdefghijkl"[:n]
		frames := append(make([]*tgframe.Frame, 0, n+2), head(), end(uint64(n)))
		for i := range n {
			frames = append(frames, chunk(uint64(i), whole[i:i+1]))
		}
		a := tganswer.NewAssembler(attemptID, 0)
		body := ""
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(frames)-1)).Draw(t, "arrivals") {
			a.Add(frames[i])
			part, ended := drain(a)
			body += part
			assert.Assert(t, strings.HasPrefix(whole, body), "delivered %q of %q", body, whole)
			assert.Assert(t, !ended || body == whole, "ended with %q of %q", body, whole)
		}
	})
}
