package daemon

import (
	"os"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sparshored": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"sparshored-hangup": func() {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				panic(err)
			}
			os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts"})
}
