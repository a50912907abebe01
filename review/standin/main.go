// Command standin plays the cases of the review: it starts gateways of the project as processes, is the
// store, the workers and the clients around them, and checks what these see. It uses the standard library only.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxRun bounds a case; run.sh may take 120 seconds.
const maxRun = 100 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios by name. Each returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"surplus-before-copy": surplusBeforeCopy,
	"crash-in-answer":     crashInAnswer,
	"hup-at-start":        hupAtStart,
	"spoiled-stream":      spoiledStream,
	"crash-in-stream":     crashInStream,
}

// workerCommand starts the process of a plain worker.
const workerCommand = "plain-worker"

func main() {
	if len(os.Args) == 4 && os.Args[1] == workerCommand {
		fmt.Fprintln(os.Stderr, runPlainWorker(os.Args[2], os.Args[3] == "true"))
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE SPARSHORED SCRATCH-FOLDER RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Args[4], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxRun, func() {
		w.close()
		fmt.Fprintln(os.Stderr, "the case takes too long")
		os.Exit(exitNotRun)
	})
	broken, err := play(w)
	code := exitHeld
	switch {
	case err != nil:
		w.note("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	case broken:
		w.note("RESULT: the rule was broken")
		code = exitBroken
	default:
		w.note("RESULT: the rule held")
	}
	w.close()
	os.Exit(code)
}
