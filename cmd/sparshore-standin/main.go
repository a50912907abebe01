// Command sparshore-standin runs stand-ins for the systems around sparshore,
// for tests and the demo only.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
