package tgframe

// RankMessage is a request from the controller of a group to the agent of a rank, or the agent's answer.
type RankMessage struct {
	Data    []byte `cbor:"data,omitempty"`
	Failure string `cbor:"failure,omitempty"` // of an answer; the request may or may not have taken effect
	Group   string `cbor:"group,omitempty"`   // of a request
	Index   int    `cbor:"index,omitempty"`   // of a request
}
