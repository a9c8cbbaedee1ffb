package tgproxy_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tgproxy"
	"tanagergrade/platform/tgemulator"
)

// Guards against callers who come back within the same outage, are refused a second time and are lost: they wait for the
// pool to run again. Callers who come for the first time are refused at once, as they can come back; so are all where
// streams do not wait for places.
func TestReturningCallerOutlastsOutage(t *testing.T) {
	resumes := []string{"Last-Event-Id: 3"}
	for name, c := range map[string]struct {
		admission tgproxy.Admission
		headers   []string
		status    int
	}{
		"first":   {admission: tgproxy.AdmissionQueue, status: http.StatusServiceUnavailable},
		"returns": {admission: tgproxy.AdmissionQueue, headers: resumes, status: http.StatusOK},
		"returnsWithoutQueue": {
			admission: tgproxy.AdmissionAuto, headers: resumes, status: http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestProxy(t, 2, withAdmission(c.admission), func(s *proxySetup) {
				s.config.Pools["pool"] = tgcatalog.Pool{Engine: tgcatalog.Engine{Slots: 10}, MaxConnections: 100, Name: "pool"}
			})
			loseRank(b.engines)
			opener := b.dial(t)
			opener.send(request("POST", "/stream/x", "opener", "{}", streamHeader))
			r, _, _ := opener.receive()
			assert.Equal(t, r.Status, http.StatusServiceUnavailable)
			caller := b.dial(t)
			caller.send(request("POST", "/stream/x", "caller", "{}", append([]string{streamHeader}, c.headers...)...))
			time.AfterFunc(400*time.Millisecond, func() {
				for _, e := range b.engines {
					e.SetDefaultFault(tgemulator.FaultNone)
				}
			})
			r, _, _ = caller.receive()
			assert.Equal(t, r.Status, c.status)
		})
	}
}
