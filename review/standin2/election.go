package main

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// election is what the store sees of the members of the topic of the leader.
type election struct {
	mu      sync.Mutex // guards the fields below
	owner   string     // member that held the first partition at its last call
	renewed time.Time  // time of that call
}

// watchElection returns the address of a front of the store that notes who holds the first partition of a topic.
func (d *deployment) watchElection(w *election) (addr string, err error) {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.storeAt})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // daemons that are ended leave calls behind
	proxy.ModifyResponse = func(r *http.Response) error {
		if r.Request.URL.Path == "/v1/log-join" && r.StatusCode == http.StatusOK {
			return w.note(r)
		}
		return nil
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/log-join" {
			data, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			var call struct {
				MemberID string `json:"memberId"`
			}
			_ = json.Unmarshal(data, &call) // a call that is none has no member
			r.Body = io.NopCloser(bytes.NewReader(data))
			r.Header.Set("X-Member", call.MemberID)
		}
		proxy.ServeHTTP(rw, r)
	})
	return d.listen(d.ip(2), func(l net.Listener) {
		_ = (&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}).Serve(l)
	})
}

// note notes the answer to a member.
func (w *election) note(r *http.Response) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	var reply struct {
		Parts [][]any `json:"parts"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return err
	}
	for _, row := range reply.Parts {
		if part, ok := row[1].(float64); ok && part == 0 {
			w.mu.Lock()
			w.owner, w.renewed = r.Request.Header.Get("X-Member"), time.Now()
			w.mu.Unlock()
		}
	}
	return nil
}

// holder returns who holds the first partition, and since when it has not renewed that.
func (w *election) holder() (name string, silent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner, time.Since(w.renewed)
}
