package tgconfig

import "github.com/google/uuid"

// Decided reports whether a change with the ID has been folded, with whatever verdict.
func (s *State) Decided(id uuid.UUID) bool {
	_, ok := s.seen[id]
	return ok
}

// Touched returns the offset after the last accepted change of e.
func (s *State) Touched(e Entity) uint64 { return s.touched[e] }
