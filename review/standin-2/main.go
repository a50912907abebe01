// Command standin2 runs the scripts of the review: it starts gateways as processes, and stands in for their clients,
// workers and platform.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken is wrapped when the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// setup is what a case gets.
type setup struct {
	// root is the root of the repository, folder the folder of the case and logs a temporary one.
	root, folder, logs string
	// trouble is unset if the disruption is to be left out.
	trouble bool
	rec     *record
}

var cases = map[string]func(s setup) error{
	"reset-upload":   resetUpload,
	"ending-workers": endingWorkers,
	"earlier-run":    earlierRun,
	"late-streams":   lateStreams,
	"paused-upload":  pausedUpload,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		return exitCannotRun
	}
	logs, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(logs) }()
	} else {
		fmt.Println(logs)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	s := setup{root: os.Args[2], folder: os.Args[3], logs: logs, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	err = cases[os.Args[1]](s)
	switch {
	case err == nil:
		rec.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.note("%v", err)
		fmt.Println(err)
		return exitBroken
	default:
		rec.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitCannotRun
	}
}
