// Command sparshored is the daemon. It runs as an entry that serves callers and operators, as a
// sidecar in front of one upstream, or as a gateway that serves callers from a route table in the
// platform's store.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
