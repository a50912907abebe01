package ctl

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sparshorectl": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the scripts of commands that need no deployment. The scripts of the other
// commands are in internal/scenario.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts", UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != ""})
}
