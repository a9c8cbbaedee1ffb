// Command standin3 plays the cases of the third review: it stands in for the platform's store, for engines and for clients,
// and starts the project's daemons as separate processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"crash":   playCrash,
	"leaving": playLeaving,
	"upload":  playUpload,
	"slow":    playSlowReader,
}

func main() {
	os.Exit(run()) //nolint:forbidigo // the exit code is the result of the case
}

// run plays the case that the arguments name; the second one is the file for the record.
func run() int {
	const caseArgs = 3
	if len(os.Args) == caseArgs && os.Args[1] == engineCommand {
		return serveUnframed(os.Args[2])
	}
	if len(os.Args) != caseArgs {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", os.Args[1])
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.linef("case %s, trouble %t, %s", os.Args[1], trouble, time.Now().Format(time.RFC3339))
	f, err := newFleet(r)
	if err != nil {
		r.linef("not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		r.linef("not run: %v", err)
		return exitNotRun
	case broken:
		r.linef("result: the rule was broken")
		return exitBroken
	default:
		r.linef("result: the rule held")
		return exitHeld
	}
}
