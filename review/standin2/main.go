// Command standin2 plays the scripts of the second review: it starts the project's daemons as processes on loopback
// addresses, with a store, engines and clients of its own, and judges what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a script; the daemons are ended then.
const maxRun = 110 * time.Second

// cases are the scripts by name. Each reports whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"lateStream": playLateStream,
	"strayEntry": playStrayEntry,
}

func main() {
	code := exitNotRun
	if len(os.Args) == 3 {
		code = play(os.Args[1], os.Args[2])
	}
	os.Exit(code) //nolint:forbidigo // the exit code is the script's result
}

// play runs a case and writes its record to a file.
func play(name, file string) int {
	run, ok := cases[name]
	if !ok {
		return exitNotRun
	}
	rec, err := newRecord(file)
	if err != nil {
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if err != nil {
		rec.linef("not run: %v", err)
		return exitNotRun
	}
	stop := time.AfterFunc(maxRun, func() {
		d.stop()
		rec.linef("not run: the script took too long")
		os.Exit(exitNotRun) //nolint:forbidigo // the exit code is the script's result
	})
	defer stop.Stop()
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(exitNotRun) //nolint:forbidigo // the exit code is the script's result
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.linef("case %s, disruption: %t", name, trouble)
	broken, err := run(d, trouble)
	switch {
	case err != nil:
		rec.linef("not run: %v", err)
		return exitNotRun
	case broken:
		rec.linef("the rule was broken")
		return exitBroken
	default:
		rec.linef("the rule held")
		return exitHeld
	}
}

// describe returns a text for an error or its absence.
func describe(err error) string {
	if err == nil {
		return "none"
	}
	return fmt.Sprint(err)
}
