// Command sparshore-standin simulates the systems that sparshore depends on, such as engines and
// the platform's stores. It is for tests and the demo only.
package main

import (
	"os"

	"github.com/sparshore/sparshore/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) }
