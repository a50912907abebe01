package ctl

import (
	"fmt"
	"net/http"
	"net/url"
)

type drainCommand struct {
	Upstream string `arg:"positional,required" help:"name of the upstream"`
}

func (c *drainCommand) run(env *environment) error {
	if err := env.api.call(http.MethodPost, "/drain/"+url.PathEscape(c.Upstream), nil, nil); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.stdout, "%s takes no new work\n", c.Upstream)
	return err
}
