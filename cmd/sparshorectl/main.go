// Command sparshorectl is the operator's tool.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
