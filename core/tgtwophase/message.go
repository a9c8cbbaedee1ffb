// Package tgtwophase changes the expert map of a rank group in two phases, so that all ranks use the same map in every step.
package tgtwophase

// ID identifies a change and the map that it introduces, or a formation: a membership of the group with its own step
// count. IDs of one token are made by one controller, so no two changes share an ID.
type ID struct {
	Sequence uint64 `json:"sequence"`
	Token    uint64 `json:"token"`
}

// Less orders IDs by token, then by sequence.
func (id ID) Less(other ID) bool {
	if id.Token != other.Token {
		return id.Token < other.Token
	}
	return id.Sequence < other.Sequence
}

// IsZero reports whether id identifies nothing.
func (id ID) IsZero() bool { return id == ID{} }

// Kind is what a message asks of a rank.
type Kind string

// Kinds of messages.
const (
	KindAbort  Kind = "abort"  // drop the armed change
	KindArm    Kind = "arm"    // do not run Step before the change is decided
	KindCommit Kind = "commit" // use the armed map from its step on
	KindForm   Kind = "form"   // leave the present formation and join another one
	KindRead   Kind = "read"   // report the state and reject older tokens from now on
	KindStage  Kind = "stage"  // load the weights of Map
)

// Message is an order from a controller to a rank. Each message can be sent any number of times.
type Message struct {
	Change    ID     `json:"change"`    // subject of abort, arm, commit and stage
	Formation ID     `json:"formation"` // of arm and form, and of a stage that prepares a formation
	Kind      Kind   `json:"kind"`
	Map       ID     `json:"map"`     // of form and stage
	Members   uint64 `json:"members"` // of form: bit i is set for rank i
	Round     uint64 `json:"round"`   // echoed in the reply
	Step      uint64 `json:"step"`    // of arm, commit and form
	To        int    `json:"to"`
	Token     uint64 `json:"token"`
}

// Refusal is the reason why a rank did not carry out a message.
type Refusal string

// Reasons for refusal.
const (
	RefusalBusy         Refusal = "busy"         // another change is armed
	RefusalClosed       Refusal = "closed"       // the change was decided or superseded
	RefusalFormation    Refusal = "formation"    // the rank is in another formation
	RefusalNotArmed     Refusal = "notArmed"     // commit of a change that is not armed
	RefusalNotStaged    Refusal = "notStaged"    // the weights of the map are not loaded
	RefusalStale        Refusal = "stale"        // the rank has seen a higher token
	RefusalStepPassed   Refusal = "stepPassed"   // the rank has entered the step already
	RefusalTokenUnknown Refusal = "tokenUnknown" // the companion has not read the highest token from the log yet
)

// Reply is a rank's answer to a message.
type Reply struct {
	From    int     `json:"from"`
	Kind    Kind    `json:"kind"`
	Refusal Refusal `json:"refusal,omitempty"`
	Round   uint64  `json:"round"`
	State   State   `json:"state"`
}

// State is the state of one rank.
type State struct {
	Armed        ID     `json:"armed"`     // change that waits for its step or its decision
	ArmedStep    uint64 `json:"armedStep"` // first step of the armed map
	Closed       ID     `json:"closed"`    // highest change that was decided on this rank
	Committed    ID     `json:"committed"` // last change that this rank committed
	Formation    ID     `json:"formation"` // zero after a restart
	LatestStaged ID     `json:"latest"`    // highest change staged; stage messages of older changes are refused
	Map          ID     `json:"map"`       // in use
	Members      uint64 `json:"members"`
	NextStep     uint64 `json:"next"`   // next step to enter
	Staged       ID     `json:"staged"` // map whose weights are loaded beside the one in use
	Token        uint64 `json:"token"`  // highest one seen
}
