package ctl

import (
	"fmt"

	"github.com/sparshore/sparshore/internal/version"
)

type versionCommand struct{}

func (*versionCommand) run(env *environment) error {
	_, err := fmt.Fprintln(env.stdout, "sparshorectl", version.String())
	return err
}
