// Command standin plays the cases of the review: it starts the daemons of the deploy file as separate processes on
// loopback before stand-ins of the platform, the engines and the clients, brings about one disruption and checks one rule.
//
//	standin CASE TROUBLE
//
// It prints the record: what was sent, answered and run. The last line is the verdict: "broken", "held" or "not run". If
// TROUBLE is 0, it leaves out the disruption.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict string

const (
	verdictBroken verdict = "broken"
	verdictHeld   verdict = "held"
	verdictNotRun verdict = "not run"
)

// cases are the cases by name.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"event":   runEventCase,
	"map":     runMapCase,
	"parts":   runPartsCase,
	"refused": runRefusedCase,
	"stop":    runStopCase,
}

// caseTimeout bounds a case; a script may take 120 s.
const caseTimeout = 114 * time.Second

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
}

var errUsage = errors.New("usage: standin CASE TROUBLE")

func run(args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	play, ok := cases[args[1]]
	if !ok {
		return fmt.Errorf("no case %q", args[1])
	}
	rec := newRecord(os.Stdout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	d, err := newDeployment(ctx, rec)
	if err != nil {
		rec.verdict(verdictNotRun)
		return err
	}
	defer d.close()
	trouble := args[2] != "0"
	rec.linef("case %s, disruption %t", args[1], trouble)
	v, err := play(d, trouble)
	if err != nil {
		rec.linef("the case could not run: %v", err)
		v = verdictNotRun
	}
	rec.verdict(v)
	return err
}
