// Package tgroute chooses the upstream of an attempt.
package tgroute

import "github.com/cespare/xxhash/v2"

// Candidate is an upstream that may take an attempt.
type Candidate struct {
	DataCentre string
	Name       string
	Pool       string // latencies are compared within a pool
}

// RendezvousFirst returns the first of the candidates in the order of rendezvous hashing for key.
func RendezvousFirst(candidates []Candidate, key string) (Candidate, bool) {
	var best Candidate
	bestHash, found := uint64(0), false
	for _, c := range candidates {
		if h := xxhash.Sum64String(c.Name + "\x00" + key); !found || h > bestHash {
			best, bestHash, found = c, h, true
		}
	}
	return best, found
}

// Untried returns the candidates that were not tried, without the data centres of those that were if others are left:
// what failed in one data centre often fails for all of it.
func Untried(candidates []Candidate, tried map[string]bool) []Candidate {
	if len(tried) == 0 {
		return candidates
	}
	triedDataCentres := map[string]bool{}
	for _, c := range candidates {
		if tried[c.Name] {
			triedDataCentres[c.DataCentre] = true
		}
	}
	var elsewhere, untried []Candidate
	for _, c := range candidates {
		if tried[c.Name] {
			continue
		}
		untried = append(untried, c)
		if !triedDataCentres[c.DataCentre] {
			elsewhere = append(elsewhere, c)
		}
	}
	if len(elsewhere) > 0 {
		return elsewhere
	}
	return untried
}
