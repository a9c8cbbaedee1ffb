// Package tgroute chooses the upstream of an attempt.
package tgroute

import "github.com/cespare/xxhash/v2"

// Candidate is an upstream that may take an attempt.
type Candidate struct {
	DataCentre string
	Name       string
	Pool       string // latencies are compared within a pool
}

// Home returns the first of the candidates in the order of rendezvous hashing for key.
func Home(candidates []Candidate, key string) (Candidate, bool) {
	var best Candidate
	bestHash, found := uint64(0), false
	for _, c := range candidates {
		if h := xxhash.Sum64String(c.Name + "\x00" + key); !found || h > bestHash {
			best, bestHash, found = c, h, true
		}
	}
	return best, found
}
