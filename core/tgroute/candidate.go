// Package tgroute chooses the upstream of an attempt from the load and the health of the candidates.
package tgroute

import "github.com/cespare/xxhash/v2"

// Candidate is an upstream that may take an attempt.
type Candidate struct {
	DataCentre string
	Name       string
	Pool       string // latencies are compared within a pool
}

// RendezvousFirst returns the candidate with the highest rendezvous hash for key, or false if there are no candidates.
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

// Untried returns the candidates that were not tried. If it can, it also leaves out the data centres of those that were
// tried, since a failure often affects a whole data centre.
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
