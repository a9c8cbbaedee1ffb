package tgdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgcall"
	"tanagergrade/io/tgstandin"
)

// ErrBroken says that the demo saw a promise broken.
var ErrBroken = errors.New("a promise was broken")

const (
	concurrency    = 8
	requestTimeout = 30 * time.Second
)

// kind is a kind of request that the demo sends.
type kind string

const (
	kindDraft   kind = "draft"
	kindPromise kind = "promise"
	kindBalance kind = "balance"
)

// tally counts the requests of one kind.
type tally struct {
	Answered, CutOff, NotRun, RunTwice, Sent, Unknown int
}

// Load sends requests and prints a table by kind.
func (d *Demo) Load(ctx context.Context, w io.Writer) error {
	r := rand.New(rand.NewPCG(d.options.Seed, 0)) //nolint:gosec // a reproducible choice, no secret
	tallies := map[kind]*tally{kindBalance: {}, kindDraft: {}, kindPromise: {}}
	var mu sync.Mutex
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout}
	p := pool.New().WithMaxGoroutines(concurrency)
	for i := range d.options.Requests {
		if ctx.Err() != nil {
			break
		}
		k := []kind{kindBalance, kindDraft, kindDraft, kindPromise}[r.IntN(4)]
		address := d.entries[r.IntN(len(d.entries))]
		p.Go(func() {
			outcome, whole := send(client, address, k, i)
			mu.Lock()
			defer mu.Unlock()
			t := tallies[k]
			t.Sent++
			switch {
			case outcome == tgcall.Answered && whole:
				t.Answered++
			case outcome == tgcall.Answered:
				t.CutOff++
			case outcome == tgcall.NotRun:
				t.NotRun++
			default:
				t.Unknown++
			}
		})
	}
	p.Wait()
	tallies[kindPromise].RunTwice = d.runTwice()
	return printTallies(w, tallies)
}

func (d *Demo) runTwice() int {
	runs := map[string]int{}
	twice := 0
	for _, e := range d.book.Entries() {
		if runs[e.Key]++; runs[e.Key] == 2 {
			twice++
		}
	}
	return twice
}

func printTallies(w io.Writer, tallies map[kind]*tally) error {
	fmt.Fprintf(w, "%-8s %5s %8s %6s %7s %8s %6s\n", "kind", "sent", "answered", "notRun", "unknown", "runTwice", "cutOff")
	broken := false
	for _, k := range []kind{kindBalance, kindDraft, kindPromise} {
		t := tallies[k]
		fmt.Fprintf(w, "%-8s %5d %8d %6d %7d %8d %6d\n", k, t.Sent, t.Answered, t.NotRun, t.Unknown, t.RunTwice, t.CutOff)
		broken = broken || t.RunTwice > 0 || t.CutOff > 0
	}
	if broken {
		return ErrBroken
	}
	return nil
}

// send sends one request and reports its outcome and whether an answer was whole.
func send(client *fasthttp.Client, address netip.AddrPort, k kind, i int) (tgcall.Outcome, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.Set("Authorization", "Bearer "+demoKey)
	prompt := fmt.Sprintf("prompt-%d", i)
	path := "/ledger/promises"
	switch k {
	case kindBalance:
	case kindDraft:
		path = "/v1/chat/completions"
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(`{"model":"thai-draft","stream":true,"messages":[{"role":"user","content":"` + prompt + `"}]}`)
	case kindPromise:
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("Idempotency-Key", newKey())
		req.SetBodyString(fmt.Sprintf(`{"amount":%d}`, i))
	}
	req.SetRequestURI("http://" + address.String() + path)
	if err := client.DoTimeout(req, resp, requestTimeout); err != nil {
		return tgcall.Unknown, false
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return tgcall.Outcome(resp.Header.Peek("Tanagergrade-Outcome")), false
	}
	if k == kindDraft {
		return tgcall.Answered, wholeDraft(string(resp.Body()), prompt)
	}
	return tgcall.Answered, json.Valid(resp.Body())
}

// wholeDraft reports whether body is the whole event stream that answers prompt.
func wholeDraft(body, prompt string) bool {
	var content strings.Builder
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for i, event := range events {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			return i == len(events)-1 && content.String() == strings.Join(tgstandin.Answer(prompt, 0), "")
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
			return false
		}
		content.WriteString(chunk.Choices[0].Delta.Content)
	}
	return false
}

func ready(address netip.AddrPort) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address.String()+"/readyz", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
