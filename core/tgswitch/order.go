// Package tgswitch changes the expert map of a rank group so that no pass begins while two ranks have different maps,
// whatever happens to the orders on their way.
package tgswitch

import "time"

// Operation is an order to a rank.
type Operation string

// Operations.
const (
	Arm     Operation = "arm"     // use the prepared map from a pass on
	Disarm  Operation = "disarm"  // forget that
	Hold    Operation = "hold"    // the group does not begin a pass
	Prepare Operation = "prepare" // load the experts of a map
	Release Operation = "release" // end a hold
)

// Result is what became of an order.
type Result string

// Results.
const (
	ResultDone    Result = "done"    // begun, or the state already holds
	ResultFenced  Result = "fenced"  // a controller with a higher token was seen
	ResultRefused Result = "refused" // the rank's state does not allow it
	ResultUnknown Result = "unknown" // no answer; it may be carried out later
)

// Order is an order to one rank.
type Order struct {
	Epoch     int64
	Operation Operation
	Rank      int
	Step      int64
	Version   int64
}

// RankState is the state that a rank reported.
type RankState struct {
	ArmedStep    int64
	ArmedVersion int64 // 0 if the rank is not armed
	Epoch        int64
	Held         int64 // pass that is held; 0 if none is
	Open         bool  // the group runs
	Prepared     int64 // version that is loaded besides the one in use; 0 if there is none
	Seen         time.Time
	Step         int64 // last pass that was begun
	Version      int64 // of the map in use
}
