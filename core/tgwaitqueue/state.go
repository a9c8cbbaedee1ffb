package tgwaitqueue

import (
	"cmp"
	"slices"
	"time"
)

const maxAccountsShown = 5

// State is the queue's state as shown in a dump.
type State struct {
	Accounts     []Count       `json:"accounts"` // those with the most waiting streams
	ExpectedWait time.Duration `json:"expectedWait"`
	OldestWait   time.Duration `json:"oldestWait"`
	Ranks        []Count       `json:"ranks"`
	Running      bool          `json:"running"`
	Waiting      int           `json:"waiting"`
}

// Count is the number of waiting streams of one account, or of one rank.
type Count struct {
	Account string `json:"account,omitempty"`
	Rank    *Rank  `json:"rank,omitempty"`
	Waiting int    `json:"waiting"`
}

// State returns the current state. ExpectedWait is that of the last in the order.
func (q *Queue) State(now time.Time) State {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := State{Running: q.running, Waiting: len(q.waiting)}
	q.predict(now)
	accounts, ranks := map[string]int{}, map[Rank]int{}
	for _, t := range q.waiting {
		accounts[t.request.Account]++
		ranks[t.request.Rank]++
		s.ExpectedWait = max(s.ExpectedWait, q.expectedWait(t, now))
		s.OldestWait = max(s.OldestWait, now.Sub(t.arrived))
	}
	for account, n := range accounts {
		s.Accounts = append(s.Accounts, Count{Account: account, Waiting: n})
	}
	for rank, n := range ranks {
		s.Ranks = append(s.Ranks, Count{Rank: &rank, Waiting: n})
	}
	slices.SortFunc(s.Accounts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Account, b.Account))
	})
	s.Accounts = s.Accounts[:min(len(s.Accounts), maxAccountsShown)]
	slices.SortFunc(s.Ranks, func(a, b Count) int { return a.Rank.Compare(*b.Rank) })
	return s
}
