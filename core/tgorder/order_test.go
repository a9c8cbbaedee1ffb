package tgorder

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

var model = Resource{Kind: ResourceModel, Name: "m"}

func load(offset, token uint64) Order {
	return Order{Kind: KindLoad, Position: Position{Offset: offset}, Resource: model, Token: token}
}

// TestApply guards against orders that reach the upstream although they are stale, out of log order, or received before
// the highest token is known.
func TestApply(t *testing.T) {
	var stale *StaleTokenError
	var superseded *SupersededError
	var unknown *TokenUnknownError
	for _, tt := range []struct {
		name   string
		checks bool
		learn  uint64
		orders []Order
		target any // of the last order's error
	}{
		{"accepted", false, 3, []Order{load(5, 3)}, nil},
		{"after a restart", false, 0, []Order{load(5, 3)}, &unknown},
		{"after a restart, upstream checks", true, 0, []Order{load(5, 3)}, nil},
		{"log order", false, 3, []Order{load(6, 3), load(5, 3)}, &superseded},
		{"older than the log", false, 4, []Order{load(5, 3)}, &stale},
		{"older than the last", false, 3, []Order{load(5, 4), load(6, 3)}, &stale},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := NewExecutor(tt.checks)
			if tt.learn > 0 {
				x.LearnToken(tt.learn)
			}
			var err error
			for _, o := range tt.orders {
				err = x.Apply(o)
			}
			if tt.target == nil && err != nil || tt.target != nil && !errors.As(err, tt.target) {
				t.Errorf("error is %v", err)
			}
		})
	}
}

// TestLostReply guards against an order that is dropped or taken as carried out when its reply is lost, and against the
// effect of an order that is carried out late.
func TestLostReply(t *testing.T) {
	loaded := State{Loaded: map[Resource]bool{model: true}}
	x := NewExecutor(false)
	x.LearnToken(1)
	x.Observe(State{})
	if err := x.Apply(load(1, 1)); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		step func()
		want ActionKind // after the step
	}{
		{"queued", func() {}, ActionSend},
		{"in flight", func() {}, ActionNone},
		{"reply lost", func() { x.HandleResult(ResultUnknown) }, ActionRead},
		{"not carried out", func() { x.Observe(State{}) }, ActionSend},
		{"reply lost again", func() { x.HandleResult(ResultUnknown) }, ActionRead},
		{"carried out", func() { x.Observe(loaded) }, ActionNone},
		{"undone by a late order", func() { x.Observe(State{}) }, ActionSend},
	} {
		tt.step()
		if got := x.Next().Kind; got != tt.want {
			t.Fatalf("%s: action is %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestBudget guards against two successive holders that together exceed the store's rate, and against urgent transfers
// that wait behind others.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		b := NewBudget(100, 5*time.Second)
		slow, _ := b.Request("a", 300, false)
		urgent, _ := b.Request("b", 100, true)
		_, cancel := b.Request("c", 1000, true)
		cancel()
		var order []string
		for {
			wait, waiting := b.Issue()
			select {
			case g := <-urgent:
				order = append(order, g.Group)
			case g := <-slow:
				order = append(order, g.Group)
			default:
			}
			if !waiting {
				break
			}
			time.Sleep(wait)
		}
		if len(order) != 2 || order[0] != "b" {
			t.Errorf("order of grants is %v", order)
		}
		if d := time.Since(start).Round(time.Second); d != 7*time.Second {
			t.Errorf("last grant after %v, want 5s for the holder before and 1s for each full budget", d)
		}
	})
}
