package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	clockAhead    = 2 * time.Second        // by which the time of day of the engine's machine is ahead until it jumps back
	upTime        = 700 * time.Millisecond // from the first start of the engine to its crash
	downTime      = 500 * time.Millisecond
	settleTime    = 8 * time.Second // from the second start of the engine to its leaving
	leaveTime     = 6 * time.Second // for which it serves on after it has said that it leaves
	leaveCallers  = 8
	leavePause    = 40 * time.Millisecond // of a caller between two requests
	leaveWork     = 60 * time.Millisecond // of the engine on a request
	maxLateListed = 20
)

// callLog is what callers have sent and got. It is safe for concurrent use.
type callLog struct {
	mu      sync.Mutex
	answers map[string]answer // by attempt ID
}

func (l *callLog) add(id string, a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = a
}

// playLeaving plays an engine that crashes, starts again under its ID and leaves in good order later. With trouble, the time
// of day of its machine is ahead at the first start, and right from the second one on. The rule is DRAIN.
func playLeaving(f *fleet, trouble bool) (broken bool, err error) {
	f.configure([]any{route("once", "non_idempotent", "plain", nil), route("any", "idempotent", "plain", nil)}, "plain")
	for i := range soundOnes {
		e, err := f.newEngine(fmt.Sprintf("i-sound-%d", i), "plain", time.Now().Add(-time.Hour))
		if err != nil {
			return false, err
		}
		e.setWork(leaveWork)
	}
	p, err := f.newEntry(usualMemory)
	if err != nil {
		return false, err
	}
	if err := f.awaitServing(p); err != nil {
		return false, err
	}
	x, err := f.startTwice(trouble)
	if err != nil {
		return false, err
	}
	log := &callLog{answers: map[string]answer{}}
	stop := f.callSteadily(p, log)
	time.Sleep(settleTime)
	acknowledged := x.setState(f, "draining")
	f.record.linef("the store acknowledges that i-leaves is draining")
	time.Sleep(leaveTime)
	x.crash()
	f.record.linef("i-leaves exits, %.1f s after the acknowledgement", time.Since(acknowledged).Seconds())
	time.Sleep(time.Second)
	stop()
	f.recordBeliefs(p)
	if len(log.answers) == 0 {
		return false, errors.New("no request was sent")
	}
	return f.judgeLeaving(x, log, acknowledged) > 0, nil
}

// startTwice starts the engine i-leaves, lets it crash and starts it again.
func (f *fleet) startTwice(trouble bool) (*engine, error) {
	first := time.Now()
	if trouble {
		first = first.Add(clockAhead)
	}
	x, err := f.newEngine("i-leaves", "plain", first)
	if err != nil {
		return nil, err
	}
	x.setWork(leaveWork)
	f.record.linef("engine i-leaves starts; born is %d ms after the true time", time.Until(first).Milliseconds())
	time.Sleep(upTime)
	addr := x.crash()
	f.record.linef("engine i-leaves crashes")
	time.Sleep(downTime)
	second := time.Now()
	if err := x.restart(f, addr, second); err != nil {
		return nil, err
	}
	f.record.linef("engine i-leaves starts again under its ID; born is the true time, %d ms after the one before",
		second.Sub(first).Milliseconds())
	return x, nil
}

// callSteadily sends requests that must not run twice until the returned function is called, which waits for their end.
func (f *fleet) callSteadily(p *process, log *callLog) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range leaveCallers {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(leavePause):
				}
				q := newRequest("POST", "/once/x", []byte("body"))
				log.add(q.id, f.send(p.callers, q))
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// judgeLeaving returns how many requests were sent and reached the engine later than drainMs after its leaving was
// acknowledged, and records them.
func (f *fleet) judgeLeaving(x *engine, log *callLog, acknowledged time.Time) (late int) {
	end := acknowledged.Add(drainTime)
	lost := 0
	runs := x.runs()
	for _, run := range runs {
		a := log.answers[run.id]
		if !run.at.After(end) || !a.sent.After(end) {
			continue
		}
		late++
		if a.status != statusOK {
			lost++
			f.record.linef("request %s, begun by i-leaves before it exits, is answered %d", run.id, a.status)
		}
		if late <= maxLateListed {
			f.record.linef("request %s is sent %.3f s and begun by i-leaves %.3f s after the acknowledgement, answered %d", run.id,
				a.sent.Sub(acknowledged).Seconds(), run.at.Sub(acknowledged).Seconds(), a.status)
		}
	}
	f.record.linef("%d requests, %d begun by i-leaves; %d sent and begun there later than drainMs after the acknowledgement, %d of them lost",
		len(log.answers), len(runs), late, lost)
	return late
}

// recordBeliefs records what the log of an entry says of the engine that leaves.
func (f *fleet) recordBeliefs(p *process) {
	for l := range strings.SplitSeq(p.log(), "\n") {
		if strings.Contains(l, "msg=belief key=i-leaves") {
			f.record.linef("log of %s: %s", p.name, l)
		}
	}
}
