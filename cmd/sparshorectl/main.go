// Command sparshorectl is the command line tool for operators of a deployment.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
