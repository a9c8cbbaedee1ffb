package tgquery

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const maxLogLineBytes = 1 << 20

// logField matches a key=value pair of a log line; the value may be quoted.
var logField = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Explanation is what the logs of entries tell of a request.
type Explanation struct {
	Decisions []Decision `json:"decisions"` // in the order of the lines
	ID        string     `json:"id"`
}

// Decision is a log line about a request: an attempt that failed, or the end of the request.
type Decision struct {
	Fields map[string]string `json:"fields"` // of the line, without its message, level and the request's ID
	Kind   string            `json:"kind"`   // message of the line
}

// Explain collects what the lines of logs tell of the request with an ID.
func Explain(id string, logs ...io.Reader) (*Explanation, error) {
	e := &Explanation{ID: id}
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(nil, maxLogLineBytes)
		for s.Scan() {
			if strings.Contains(s.Text(), id) {
				e.addLine(s.Text())
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	if len(e.Decisions) == 0 {
		return nil, errors.Newf("no line of the logs is about request %q", id)
	}
	return e, nil
}

func (e *Explanation) addLine(line string) {
	d := Decision{Fields: map[string]string{}}
	for _, m := range logField.FindAllStringSubmatch(line, -1) {
		value := m[2]
		if text, err := strconv.Unquote(value); err == nil {
			value = text
		}
		d.Fields[m[1]] = value
	}
	d.Kind = d.Fields["msg"]
	if d.Fields["id"] != e.ID || d.Kind != "attempt" && d.Kind != "request" {
		return
	}
	for _, name := range []string{"id", "level", "msg"} {
		delete(d.Fields, name)
	}
	e.Decisions = append(e.Decisions, d)
}

// Print writes the explanation as text: what the request was taken to cost, where its attempts went and why, and how it
// ended.
func (e *Explanation) Print(w io.Writer) {
	last := e.Decisions[len(e.Decisions)-1].Fields
	fmt.Fprintf(w, "request %s: %s", e.ID, list(last, "account", "route", "pool", "config"))
	if last["expectedTokens"] != "" {
		fmt.Fprintf(w, "cost: prompt of %s tokens, answer of %s tokens expected and %s in nine of ten cases, by %s; %s tokens so far\n",
			known(last["promptTokens"]), last["expectedTokens"], last["likelyTokens"], last["basis"], known(last["tokens"]))
	}
	for _, d := range e.Decisions {
		fmt.Fprintf(w, "%s %s: %s", d.Fields["time"], d.Kind, d.summary())
	}
}

// summary returns what a decision was and by which inputs.
func (d *Decision) summary() string {
	f := d.Fields
	var b strings.Builder
	b.WriteString(f["outcome"])
	if f["status"] != "" {
		b.WriteString(" with status " + f["status"])
	}
	if f["detail"] != "" {
		b.WriteString(" (" + f["detail"] + ")")
	}
	if f["upstream"] != "" {
		fmt.Fprintf(&b, "; upstream %s, chosen by %s at a load of %s", f["upstream"], placedBy(f["placedBy"]), known(f["load"]))
	}
	b.WriteString("; " + list(f, "vm", "elapsedMs", "waitedMs", "firstEventMs", "longestPauseMs", "returning", "inFlight", "limit",
		"peakGapMs", "position", "expectedWaitMs", "retryAfterMs"))
	return b.String()
}

// placedBy explains what an upstream was chosen by.
func placedBy(value string) string {
	by := "the streams of this entry"
	if strings.Contains(value, "shared") {
		by = "the streams of all entries"
	}
	if strings.Contains(value, "cost") {
		by += " and the work that they have left"
	}
	return by
}

func known(value string) string {
	if value == "" {
		return "0"
	}
	return value
}

// list returns the fields that are present, in the order of names, and ends the line.
func list(fields map[string]string, names ...string) string {
	var parts []string
	for _, name := range names {
		if fields[name] != "" {
			parts = append(parts, name+" "+fields[name])
		}
	}
	return strings.Join(parts, ", ") + "\n"
}
