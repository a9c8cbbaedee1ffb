// Package tgadmin implements the admin interface of a daemon, server and client: metrics, state dump, status and volatile
// marks.
package tgadmin

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
)

// MarkHandler applies a volatile mark. It returns an error if the daemon does not know the entity of the mark.
type MarkHandler func(ctx context.Context, m Mark) error

// Registrar is implemented by components of a daemon that add dump sources or a mark handler to the admin interface.
type Registrar interface {
	RegisterAdmin(r *Registry)
}

// Registry holds the dump sources, the status source and the mark handler of a daemon. It is safe for concurrent use.
type Registry struct {
	markHandler MarkHandler
	mu          sync.Mutex            // guards the other fields
	sources     map[string]func() any // by name in the dump
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

// Add adds a source of the dump. The source may be called concurrently. It returns a value that encoding/json can encode
// and that is not modified afterwards.
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

// Dump returns the encoded state of each source. If a state cannot be encoded, the error takes its place, so that it does
// not hide the other sources.
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
