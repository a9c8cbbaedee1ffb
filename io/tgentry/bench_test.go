package tgentry

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgstandin"
)

// stampEngine streams events that contain the time at which they were written.
type stampEngine struct{ interval time.Duration }

const stampPadding = 160 // bytes that bring an event to the size of a chat completion chunk

func (e stampEngine) handle(ctx *fasthttp.RequestCtx) {
	tokens, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Resume-From")))
	if _, rest, ok := bytes.Cut(ctx.PostBody(), []byte(`"max_tokens":`)); ok {
		digits, _, _ := bytes.Cut(rest, []byte(","))
		tokens, _ = strconv.Atoi(string(digits))
	}
	if !bytes.Contains(ctx.PostBody(), []byte(`"stream":true`)) {
		ctx.SetContentType("application/json")
		ctx.SetBodyString(`{"object":"chat.completion","pad":"` + strings.Repeat("x", 400) + `"}`)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		padding := strings.Repeat("x", stampPadding)
		for range tokens {
			if e.interval > 0 {
				time.Sleep(e.interval)
			}
			_, _ = fmt.Fprintf(w, "data: %d %s\n\n", time.Now().UnixNano(), padding)
			if w.Flush() != nil {
				return
			}
		}
		_, _ = w.WriteString("data: [DONE]\n\n")
	})
}

// benchClient sends requests over one connection.
type benchClient struct {
	conn net.Conn
	r    *bufio.Reader
}

func newBenchClient(b *testing.B, address string) *benchClient {
	b.Helper()
	var d net.Dialer
	c, err := d.DialContext(b.Context(), "tcp4", address)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = c.Close() })
	return &benchClient{conn: c, r: bufio.NewReaderSize(c, 64<<10)}
}

// chat sends one request and reads its answer. If delays is not nil, it appends the time of each token from the engine's
// write to the client's read.
func (c *benchClient) chat(stream bool, tokens int, delays []time.Duration) ([]time.Duration, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"x"}]}`, tokens, stream)
	if _, err := io.WriteString(c.conn, rawRequest("POST", "/v1/chat/completions", body)); err != nil {
		return nil, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	if err := resp.Read(c.r); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		data, _ := io.ReadAll(resp.BodyStream())
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode(), data)
	}
	if !stream {
		_, err := io.Copy(io.Discard, resp.BodyStream())
		return nil, err
	}
	lines := bufio.NewScanner(resp.BodyStream())
	n, done := 0, false
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			done = true
		case bytes.HasPrefix(line, []byte("data: ")):
			n++
			if delays != nil {
				stamp, _, _ := bytes.Cut(line[6:], []byte(" "))
				ns, _ := strconv.ParseInt(string(stamp), 10, 64)
				delays = append(delays, time.Duration(time.Now().UnixNano()-ns))
			}
		}
	}
	if n != tokens || !done {
		return nil, fmt.Errorf("%d of %d tokens, done %t", n, tokens, done)
	}
	return delays, lines.Err()
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchDirectAndPath runs f with the address of an engine, and then with that of an entry with companions before the
// engine. Both results include the cost of the client and the engine; their difference is the cost of the daemons.
func benchDirectAndPath(b *testing.B, interval time.Duration, f func(b *testing.B, address string)) {
	b.Helper()
	server, err := tgstandin.Serve(stampEngine{interval}.handle)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = server.Close() })
	b.Run("direct", func(b *testing.B) { f(b, server.Address().String()) })
	b.Run("path", func(b *testing.B) {
		d := startDaemonsAt(b, []netip.AddrPort{server.Address(), server.Address()})
		warm := newBenchClient(b, d.address)
		for range 100 { // grows the admission limits, which start at the cold limit
			_, err := warm.chat(false, 1, nil)
			assert.NilError(b, err)
		}
		f(b, d.address)
	})
}

// runClients calls f from several clients, b.N times in all. A call processes the given number of units, such as tokens;
// the metrics are reported per unit.
func runClients(b *testing.B, address string, clients int, unit string, units int, f func(c *benchClient) error) {
	b.Helper()
	all := make([]*benchClient, clients)
	for i := range all {
		all[i] = newBenchClient(b, address)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	b.ResetTimer()
	var wg sync.WaitGroup
	for i, c := range all {
		wg.Go(func() {
			for n := i; n < b.N; n += clients {
				if err := f(c); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	cpu = cpuTime() - cpu
	runtime.ReadMemStats(&after)
	total := float64(b.N * units)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/"+unit)
	b.ReportMetric(float64(cpu.Nanoseconds())/total, "cpu-ns/"+unit)
	b.ReportMetric(total/cpu.Seconds(), unit+"s/cpu-s")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/"+unit)
}

// BenchmarkRequest measures whole answers, one at a time and eight at a time.
func BenchmarkRequest(b *testing.B) {
	for _, clients := range []int{1, 8} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			benchDirectAndPath(b, 0, func(b *testing.B, address string) {
				b.Helper()
				runClients(b, address, clients, "request", 1, func(c *benchClient) error {
					_, err := c.chat(false, 1, nil)
					return err
				})
			})
		})
	}
}

// BenchmarkStream measures streams whose engine writes without pauses.
func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	for _, clients := range []int{1, 8} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			benchDirectAndPath(b, 0, func(b *testing.B, address string) {
				b.Helper()
				runClients(b, address, clients, "token", tokens, func(c *benchClient) error {
					_, err := c.chat(true, tokens, nil)
					return err
				})
			})
		})
	}
}

// BenchmarkPacedStream measures 16 streams with a token every 2 ms each and reports the latency of a token from the
// engine to the client.
func BenchmarkPacedStream(b *testing.B) {
	const tokens = 200
	benchDirectAndPath(b, 2*time.Millisecond, func(b *testing.B, address string) {
		b.Helper()
		var mu sync.Mutex
		var all []time.Duration
		runClients(b, address, 16, "token", tokens, func(c *benchClient) error {
			delays, err := c.chat(true, tokens, make([]time.Duration, 0, tokens))
			mu.Lock()
			defer mu.Unlock()
			all = append(all, delays...)
			return err
		})
		if len(all) > 0 {
			slices.Sort(all)
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-us")
		}
	})
}

func newAccounts(n int) map[string]tgconfig.Account {
	accounts := make(map[string]tgconfig.Account, n)
	for i := range n {
		sum := sha256.Sum256([]byte(strconv.Itoa(i)))
		accounts["account-"+strconv.Itoa(i)] = tgconfig.Account{KeyHash: hex.EncodeToString(sum[:])}
	}
	return accounts
}

// BenchmarkAccountLookup measures the account index with 36,000 accounts, the size expected in two years.
func BenchmarkAccountLookup(b *testing.B) {
	accounts := newAccounts(36_000)
	var x accountIndex
	hash, _ := decodeHash(accounts["account-17"].KeyHash)
	b.Run("indexed", func(b *testing.B) {
		for b.Loop() {
			if _, ok := x.lookup(accounts, hash); !ok {
				b.Fatal("not found")
			}
		}
	})
	b.Run("scan", func(b *testing.B) {
		want := accounts["account-17"].KeyHash
		for b.Loop() {
			found := false
			for _, a := range accounts {
				if a.KeyHash == want {
					found = true
					break
				}
			}
			if !found {
				b.Fatal("not found")
			}
		}
	})
	b.Run("rebuild", func(b *testing.B) {
		for b.Loop() {
			x.rebuild(accounts, 0)
			x.current.Store(nil)
		}
	})
}
