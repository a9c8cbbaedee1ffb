package tgdemo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
)

const (
	concurrency    = 256 // requests in flight at most
	duplicateOneIn = 4   // one promise in this many is sent to two entries at once with the same idempotency key
)

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// Load sends requests while faults are injected, and prints a table with a row for each kind of request. The error is
// ErrGuaranteeViolated if a guarantee of the system was violated.
func (d *Demo) Load(ctx context.Context, w io.Writer) error {
	j := &injector{demo: d}
	injectErr := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { injectErr <- j.run(ctx) })
	wg.Go(func() { j.countLateExecutions(ctx) })
	r := newReport()
	_ = d.group.Stats() // discards the gaps recorded while the group was forming
	d.send(ctx, r)
	wg.Wait()
	if err := <-injectErr; err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	time.Sleep(time.Second) // lets a duplicate execution of a request reach the ledger
	r.checkLedger(d.ledgerStore.Entries())
	r.lateExecutions = j.lateExecutions.Load()
	r.controller, r.group = d.controllerStatus(), d.group.Stats()
	return r.print(w)
}

// send sends the requests at even intervals over loadDuration and waits for their results.
func (d *Demo) send(ctx context.Context, r *report) {
	random := rand.New(rand.NewPCG(d.options.Seed, 0)) //nolint:gosec // a reproducible choice, no secret
	client := newCaller()
	p := pool.New().WithMaxGoroutines(concurrency)
	defer p.Wait()
	started := time.Now()
	for i := range d.options.Requests {
		at := started.Add(loadDuration * time.Duration(i) / time.Duration(d.options.Requests))
		if !sleepUntil(ctx, at) {
			return
		}
		k := kinds[random.IntN(len(kinds))]
		first := random.IntN(len(d.entries))
		targets := []int{first}
		if k == kindPromise && random.IntN(duplicateOneIn) == 0 {
			targets = append(targets, (first+1)%len(d.entries))
		}
		q := request{account: accounts[random.IntN(len(accounts))].name, key: newKey(), kind: k, number: i}
		for _, target := range targets {
			p.Go(func() { r.add(q, client.send(d.entries[target], q)) })
		}
		if w := d.options.Progress; w != nil {
			fmt.Fprintf(w, "\r%6.1f s  %d of %d requests", time.Since(started).Seconds(), i+1, d.options.Requests)
		}
	}
	if w := d.options.Progress; w != nil {
		fmt.Fprintln(w)
	}
}
