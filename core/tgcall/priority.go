package tgcall

// Priority decides which requests are shed first under overload.
type Priority string

// Priorities; Bulk is shed first and Live last.
const (
	Live     Priority = "live"
	Standard Priority = "standard"
	Bulk     Priority = "bulk"
)

// Rank returns 0 for the highest priority. An unset priority counts as standard.
func (p Priority) Rank() int {
	switch p {
	case Live:
		return 0
	case Bulk:
		return 2
	case Standard:
		return 1
	default:
		return 1
	}
}

// Valid reports whether p is a known priority.
func (p Priority) Valid() bool {
	switch p {
	case Bulk, Live, Standard:
		return true
	default:
		return false
	}
}
