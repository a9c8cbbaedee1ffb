package tgnode

import (
	"expvar"
	"flag"
	"fmt"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gotest.tools/v3/assert"
)

var plots = flag.String("plots", "", "directory that BenchmarkSpread writes its plot to")

// runOnFakeClock runs f on the fake clock of testing/synctest within a benchmark. It wraps f in a test, since
// synctest.Test needs a testing.T.
func runOnFakeClock(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	test := testing.InternalTest{Name: b.Name(), F: func(t *testing.T) {
		t.Helper()
		synctest.Test(t, f)
	}}
	if !testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{test}) {
		b.Fatal("the run on the fake clock failed")
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// counterTotal returns the sum of a counter over all daemons.
func (c *cluster) counterTotal(name string) float64 {
	total := int64(0)
	for _, n := range c.nodes {
		if v := n.counters.vars.Get(name); v != nil {
			i, _ := v.(*expvar.Int)
			total += i.Value()
		}
	}
	return float64(total)
}

// resetContacted returns the number of pairs of daemons that have opened exchanges since the last call.
func (c *cluster) resetContacted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.contacted)
	c.contacted = map[[2]string]bool{}
	return n
}

// BenchmarkSpread measures, in one data centre with three readers of the log, the time until all daemons have applied a
// change, and the control traffic and processor time of each daemon.
func BenchmarkSpread(b *testing.B) {
	const seed, changes = 1, 20
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Change in force at all daemons", "daemons", "longest time, s"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min = plot.LogScale{}, plot.LogTicks{}, 0
	for i, loss := range []float64{0, 0.1, 0.3} {
		var points plotter.XYs
		for _, size := range []int{10, 30, 100, 300, 1000} {
			b.Run(fmt.Sprintf("loss=%.0f%%/daemons=%d", loss*100, size), func(b *testing.B) {
				var longest time.Duration
				for range b.N {
					longest = max(longest, measureSpread(b, seed, changes, loss, size, "a1"))
				}
				points = append(points, plotter.XY{X: float64(size), Y: longest.Seconds()})
			})
		}
		if len(points) > 0 {
			line, dots, err := plotter.NewLinePoints(points)
			assert.NilError(b, err)
			line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
			p.Add(line, dots)
			p.Legend.Add(fmt.Sprintf("%.0f%% of messages lost", loss*100), line, dots)
		}
	}
	if *plots != "" {
		assert.NilError(b, p.Save(5*vg.Inch, 3.5*vg.Inch, filepath.Join(*plots, "control-spread.svg")))
	}
}

// BenchmarkTraffic measures the same as BenchmarkSpread in seven data centres of three regions, and the number of peers
// that each daemon contacts.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []int{5, 10, 20, 40, 80} {
		b.Run(fmt.Sprintf("perDataCentre=%d", size), func(b *testing.B) {
			for range b.N {
				measureSpread(b, 1, 5, 0, size, "a1", "a2", "a3", "b1", "b2", "c1", "c2")
			}
		})
	}
}

// measureSpread publishes changes in a cluster, reports the metrics of its idle traffic and of each change, and returns
// the longest time until a daemon has applied a change.
func measureSpread(
	b *testing.B, seed uint64, changes int, loss float64, perDataCentre int, dataCentres ...string,
) time.Duration {
	b.Helper()
	const idleTime = 60 * time.Second
	size := perDataCentre * len(dataCentres)
	var delays []time.Duration
	var bytes, messages, messagesPerChange, peers, perChange, cost float64
	runOnFakeClock(b, func(t *testing.T) {
		t.Helper()
		c := newCluster(t, seed, perDataCentre, dataCentres...)
		defer c.stop(c.names...)
		c.impair(loss, 0, noneCut)
		time.Sleep(2 * settleTime)
		c.resetContacted()
		sentBytes, sent, cpu := c.counterTotal("sentBytes"), c.counterTotal("sentMessages"), processorTime()
		time.Sleep(idleTime)
		idleDaemonSeconds := float64(size) * idleTime.Seconds()
		bytes = (c.counterTotal("sentBytes") - sentBytes) / idleDaemonSeconds
		messages = (c.counterTotal("sentMessages") - sent) / idleDaemonSeconds
		cost = (processorTime() - cpu).Seconds() / idleDaemonSeconds
		peers = float64(c.resetContacted()) / float64(size)
		sentBytes, sent = c.counterTotal("sentBytes"), c.counterTotal("sentMessages")
		started := time.Now()
		for i := range changes {
			offset := c.publish(uint64(i+1), withdrawalChange(t, fmt.Sprintf("b%d", i)))
			published := time.Now()
			reached := map[string]bool{}
			for time.Since(published) < propagationBound {
				time.Sleep(10 * time.Millisecond)
				for _, name := range c.names {
					if !reached[name] && c.nodes[name].Applied() > offset {
						reached[name] = true
						delays = append(delays, time.Since(published))
					}
				}
			}
			assert.Equal(t, len(reached), size, "change %d is not applied by all daemons", i)
		}
		changeDaemonSeconds := float64(size) * time.Since(started).Seconds()
		perChange = (c.counterTotal("sentBytes") - sentBytes - bytes*changeDaemonSeconds) / float64(size*changes)
		messagesPerChange = (c.counterTotal("sentMessages") - sent - messages*changeDaemonSeconds) / float64(size*changes)
	})
	slices.Sort(delays)
	b.ReportMetric(delays[len(delays)/2].Seconds(), "p50-s")
	b.ReportMetric(delays[len(delays)*99/100].Seconds(), "p99-s")
	b.ReportMetric(delays[len(delays)-1].Seconds(), "max-s")
	b.ReportMetric(bytes, "sentB/s")
	b.ReportMetric(messages, "sent/s")
	b.ReportMetric(perChange, "sentB/change")
	b.ReportMetric(messagesPerChange, "sent/change")
	b.ReportMetric(peers, "contacted")
	b.ReportMetric(cost*100, "%core")
	b.ReportMetric(0, "ns/op")
	return delays[len(delays)-1]
}

// BenchmarkRestart measures the time until all of 280 daemons in seven data centres are ready after some restart
// together.
func BenchmarkRestart(b *testing.B) {
	for _, row := range []struct {
		name    string
		count   int
		logDown bool
	}{
		{"process", 1, false}, {"rack", 20, false}, {"dataCentre", 40, false}, {"all", 280, false},
		{"process", 1, true}, {"rack", 20, true}, {"dataCentre", 40, true},
	} {
		b.Run(fmt.Sprintf("%s/logDown=%t", row.name, row.logDown), func(b *testing.B) {
			var took time.Duration
			for range b.N {
				runOnFakeClock(b, func(t *testing.T) {
					t.Helper()
					c := newCluster(t, 1, 40, "a1", "a2", "a3", "b1", "b2", "c1", "c2")
					defer c.stop(c.names...)
					time.Sleep(settleTime)
					c.log.SetDown(row.logDown)
					time.Sleep(settleTime)
					c.restart(c.names[:row.count]...)
					var ok bool
					took, ok = c.waitFor(time.Minute, c.names, func(n *Node) bool { return n.Ready() == nil })
					assert.Assert(t, ok)
				})
			}
			b.ReportMetric(took.Seconds(), "recovery-s")
			b.ReportMetric(0, "ns/op")
		})
	}
	runtime.GC()
}
