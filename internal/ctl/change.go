package ctl

import "net/http"

type changeCommand struct {
	ID string `arg:"positional,required" help:"identifier of the change"`
}

func (c *changeCommand) run(env *environment) error {
	var out changeOutcome
	if err := env.api.call(http.MethodGet, "/changes/"+c.ID, nil, &out); err != nil {
		return err
	}
	return printOutcome(env, c.ID, out)
}
