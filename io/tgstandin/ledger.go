package tgstandin

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// Ledger is a stand-in of one instance of a plain service; all instances share one LedgerStore.
type Ledger struct {
	Name  string
	Store *LedgerStore
}

// LedgerStore records the requests that the instances of a plain service have executed.
type LedgerStore struct {
	mu      sync.Mutex
	entries []LedgerEntry
}

// LedgerEntry is one executed request.
type LedgerEntry struct {
	Body json.RawMessage `json:"body"`
	By   string          `json:"by"`  // name of the instance
	Key  string          `json:"key"` // idempotency key
}

// Entries returns the executed requests in the order of their execution.
func (s *LedgerStore) Entries() []LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]LedgerEntry{}, s.entries...)
}

func (s *LedgerStore) add(e LedgerEntry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	return len(s.entries)
}

// Handle serves the ledger's HTTP interface.
func (l *Ledger) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/ledger/promises" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if ctx.IsGet() {
		writeJSON(ctx, l.Store.Entries())
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	if !json.Valid(body) {
		ctx.Error(`{"error":"body is not JSON"}`, fasthttp.StatusBadRequest)
		return
	}
	number := l.Store.add(LedgerEntry{Body: body, By: l.Name, Key: string(ctx.Request.Header.Peek("Idempotency-Key"))})
	ctx.SetStatusCode(fasthttp.StatusCreated)
	writeJSON(ctx, map[string]int{"number": number})
}
