package tgentry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcall"
	"tanagergrade/io/tgstandin"
)

// Guards against long answers at the same time, each below the limit of one answer, that fill the memory of the entry: the
// requests of all callers would end with it.
func TestBufferedAnswersShareMemory(t *testing.T) {
	const (
		answerBytes = 24 << 10
		calls       = 3
		limit       = 20 << 10 // of all answers, beyond the first 16 KiB of each: two of them
	)
	synctest.Test(t, func(t *testing.T) {
		engine := &tgstandin.PipeEngine{Interval: 500 * time.Microsecond, NonStreaming: true, Tokens: answerBytes}
		s := newSystem(t, 3, tgstandin.NewLink(), engine)
		s.entry.answersLimit = limit
		var answered, rejected atomic.Int64
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				x := newRequest(true, false)
				x.RequestID = fmt.Sprintf("r%d", i)
				body, failure := s.run(x)
				if failure == nil {
					assert.Check(t, len(body) == answerBytes)
					answered.Add(1)
					return
				}
				assert.Check(t, failure.Code == tgcall.CodeAnswerIncomplete, "%+v", failure)
				rejected.Add(1)
			})
		}
		wg.Wait()
		assert.Assert(t, answered.Load() > 0)
		assert.Assert(t, rejected.Load() > 0)
		assert.Equal(t, s.entry.answers.Used(), int64(0))
	})
}
