// Command sparshored is the daemon: an entry that serves callers, or a sidecar
// beside one upstream.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
