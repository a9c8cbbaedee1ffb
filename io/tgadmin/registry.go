// Package tgadmin is the admin interface of a daemon: metrics, state dump, status and volatile marks.
package tgadmin

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
)

// MarkHandler takes a volatile mark; it returns an error if the mark names nothing that the daemon knows.
type MarkHandler func(ctx context.Context, m Mark) error

// Registrar is implemented by parts of a daemon that show their state or take marks on the admin interface.
type Registrar interface {
	RegisterAdmin(r *Registry)
}

// Registry holds what a daemon shows and takes on its admin interface.
type Registry struct {
	markHandler MarkHandler
	mu          sync.Mutex
	sources     map[string]func() any
	status      func() Status
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		markHandler: func(context.Context, Mark) error { return errors.New("this daemon takes no marks") },
		sources:     map[string]func() any{},
		status:      func() Status { return Status{} },
	}
}

// Add adds a source of the dump. The source is called from several goroutines and returns a value
// that encoding/json can encode and that is not modified afterwards.
func (r *Registry) Add(name string, source func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources[name] = source
}

// SetMarkHandler sets the handler of volatile marks.
func (r *Registry) SetMarkHandler(handler MarkHandler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markHandler = handler
}

// SetStatus sets the source of the status.
func (r *Registry) SetStatus(status func() Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = status
}

// Dump returns the encoded state of all sources. A source that cannot be encoded is replaced by its error,
// so that it does not hide the others.
func (r *Registry) Dump() map[string]json.RawMessage {
	r.mu.Lock()
	sources := make(map[string]func() any, len(r.sources))
	for name, source := range r.sources {
		sources[name] = source
	}
	r.mu.Unlock()
	dump := make(map[string]json.RawMessage, len(sources))
	for name, source := range sources {
		data, err := json.Marshal(source())
		if err != nil {
			data, _ = json.Marshal(map[string]string{"error": err.Error()}) //nolint:errchkjson // strings always encode
		}
		dump[name] = data
	}
	return dump
}

func (r *Registry) currentStatus() Status {
	r.mu.Lock()
	status := r.status
	r.mu.Unlock()
	return status()
}

func (r *Registry) handleMark(ctx context.Context, m Mark) error {
	r.mu.Lock()
	handler := r.markHandler
	r.mu.Unlock()
	return handler(ctx, m)
}
