package tgorder

// Fence rejects stale fencing tokens on behalf of an upstream that does not check them. After a restart it rejects all
// tokens until LearnToken, since an order of an old holder could pass otherwise. It is not safe for concurrent use.
type Fence struct {
	highest uint64
	known   bool // LearnToken was called
}

// LearnToken raises the highest token to the one in the log, after which Check accepts tokens.
func (f *Fence) LearnToken(token uint64) {
	f.highest = max(f.highest, token)
	f.known = true
}

// Check returns nil if an order with token may pass; lower tokens are rejected as stale from then on.
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
