package tgframe

// RankMessage is a request of a group's controller to the agent of a rank, or the agent's answer.
type RankMessage struct {
	Data    []byte `cbor:"data,omitempty"`
	Failure string `cbor:"failure,omitempty"` // of an answer; the outcome is unknown
	Group   string `cbor:"group,omitempty"`   // of a request
	Index   int    `cbor:"index,omitempty"`   // of a request
}
