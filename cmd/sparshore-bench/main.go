// Command sparshore-bench compares scheduling and placement policies on virtual time.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/bench"
)

func main() { os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr)) }
