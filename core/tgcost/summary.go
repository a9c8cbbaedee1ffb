package tgcost

import "time"

// Summary is what an entry tells another of the answers on a route.
type Summary struct {
	Ratios Histogram `cbor:"1,keyasint"`
	Route  string    `cbor:"2,keyasint"`
	Tokens Histogram `cbor:"3,keyasint"`
}

// maxSummaries bounds what an entry tells another.
const maxSummaries = 64

// Summaries returns what is known of the routes with enough answers.
func (e *Estimator) Summaries() []Summary {
	var list []Summary
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for name, rt := range s.routes {
			if rt.tokens.Total >= minSamples && len(list) < maxSummaries {
				list = append(list, Summary{Ratios: rt.ratios, Route: name, Tokens: rt.tokens})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// Merge uses the summaries of a peer for the routes of which this estimator knows less, and returns how many it used.
// They count for few answers, so that own ones replace them soon.
func (e *Estimator) Merge(list []Summary, now time.Time) int {
	used := 0
	for _, p := range list[:min(len(list), maxSummaries)] {
		if !p.Tokens.valid(0) || !p.Ratios.valid(centreBucket) {
			continue
		}
		s := e.shard(p.Route)
		s.mu.Lock()
		if rt := s.route(p.Route, now); rt.tokens.Total < minSamples {
			rt.tokens, rt.ratios, rt.updated = p.Tokens, p.Ratios, now
			for _, h := range []*Histogram{&rt.tokens, &rt.ratios} {
				h.scale(min(1, maxImportedWeight/max(1, h.Total)))
			}
			used++
		}
		s.mu.Unlock()
	}
	return used
}
