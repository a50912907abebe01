package ctl

import (
	"fmt"

	"github.com/sparshore/sparshore/internal/config"
)

type hashKeyCommand struct {
	Key string `arg:"positional,required" help:"the key or token as its owner sends it"`
}

func (c *hashKeyCommand) run(env *environment) error {
	_, err := fmt.Fprintln(env.stdout, config.HashKey(c.Key))
	return err
}
