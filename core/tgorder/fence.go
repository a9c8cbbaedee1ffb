package tgorder

// Fence rejects stale tokens on behalf of an upstream that ignores them. After a restart it rejects everything until
// LearnToken, since an old holder could otherwise get an order through.
type Fence struct {
	highest uint64
	known   bool
}

// LearnToken takes the highest token that the log shows.
func (f *Fence) LearnToken(token uint64) {
	f.highest = max(f.highest, token)
	f.known = true
}

// Check returns nil if an order with token may pass; lower tokens are stale from then on.
func (f *Fence) Check(token uint64) error {
	switch {
	case !f.known:
		return &TokenUnknownError{}
	case token < f.highest:
		return &StaleTokenError{Highest: f.highest, Token: token}
	}
	f.highest = token
	return nil
}

// Highest returns the highest token seen.
func (f *Fence) Highest() uint64 { return f.highest }
