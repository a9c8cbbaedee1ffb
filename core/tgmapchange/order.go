// Package tgmapchange changes the expert map of a rank group so that no pass begins while two ranks have different maps,
// even if orders or their answers are lost, delayed or repeated. All ranks begin a pass in lock-step; fields named
// Step hold the number of a pass.
package tgmapchange

import "time"

// Operation is what an order asks of a rank.
type Operation string

// Operations of an order.
const (
	Arm     Operation = "arm"     // use the prepared map from a given pass on
	Disarm  Operation = "disarm"  // cancel Arm
	Hold    Operation = "hold"    // keep the group from beginning a given pass
	Prepare Operation = "prepare" // load the experts of a map
	Release Operation = "release" // end a hold
)

// Result is the outcome of an order as its sender sees it.
type Result string

// Results of an order. Answers do not say which order they are for, so done and refused may be those of another order,
// and the order may still be carried out: only a report of the rank shows what became of it. A fence is the exception.
const (
	ResultDone    Result = "done"    // carried out or begun, or the rank is already in that state
	ResultFenced  Result = "fenced"  // the rank has seen a controller with a higher token
	ResultRefused Result = "refused" // the rank's state does not allow it
	ResultUnknown Result = "unknown" // no answer; the order may still be carried out
)

// Order is an order to one rank.
type Order struct {
	Epoch     int64
	Operation Operation
	Rank      int
	Step      int64 // pass that is held or armed for
	Version   int64 // of the map
}

// IsFence reports whether the order is only to make the rank refuse lower tokens: no report shows that, so its answer has
// to be certain.
func (o Order) IsFence() bool { return o.Operation == Release && o.Step == 0 }

// RankState is the state that a rank reported last.
type RankState struct {
	ArmedStep    int64
	ArmedVersion int64 // 0 if the rank is not armed
	Epoch        int64
	Held         int64     // pass that the rank holds; 0 if it holds none
	Open         bool      // the group runs passes
	Prepared     int64     // version that is loaded beside the one in use; 0 if there is none
	Seen         time.Time // when the state was current; zero before the first report
	Step         int64     // last pass that the rank began
	Version      int64     // of the map in use
}
