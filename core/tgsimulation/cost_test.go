package tgsimulation

import (
	"strconv"
	"testing"
	"time"

	"tanagergrade/core/tgadmission"
	"tanagergrade/core/tgqueue"
	"tanagergrade/core/tgroute"
)

// BenchmarkCost measures the elapsed time and allocations of the policies for each request and token.
func BenchmarkCost(b *testing.B) {
	candidates := make([]tgroute.Candidate, 64)
	for i := range candidates {
		candidates[i] = tgroute.Candidate{DataCentre: dataCentre(i), Name: strconv.Itoa(i)}
	}
	router := tgroute.NewRouter("a")
	b.Run("choose64", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c, _ := router.Choose(candidates)
			router.Done(c.Name, false)
		}
	})
	b.Run("tokenAtEntry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			router.RecordAttempt("1", tgroute.Observation{Gap: stepTime})
		}
	})
	limiter := tgadmission.NewLimiter(2, engineSlots)
	b.Run("tokenAtCompanion", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			limiter.Observe(tgadmission.Progress{Gap: stepTime, Tokens: 1})
		}
	})
	queue := tgqueue.NewQueue(queueCapacity, func(int, tgqueue.Refusal) {})
	b.Run("queue", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			r := tgqueue.Request{Account: strconv.Itoa(i % 1000), Deadline: time.Now().Add(time.Minute), Work: 1}
			_, _ = queue.Push(r, i)
			queue.Pop()
		}
	})
}
