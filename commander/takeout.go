package commander

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/requester"
)

func (c *Commander) takeout() *ffcli.Command {
	r := c.newRemoteCommand("takeout", "takeout dc|target NAME [-wait] [-force] -host ADDR -keyFile FILE")
	return c.setService(r, true, "take a data centre or a target out of service",
		"Takes a data centre or a target out of service: it gets no new work after 3 s.",
		"bramleyline takeout dc krakow -wait -host 127.0.0.1:7104 -keyFile operator.key")
}

func (c *Commander) restore() *ffcli.Command {
	r := c.newRemoteCommand("restore", "restore dc|target NAME [-wait] -host ADDR -keyFile FILE")
	return c.setService(r, false, "bring a data centre or a target back into service",
		"Brings a data centre or a target back into service; its targets start with the cold allowance.",
		"bramleyline restore dc krakow -wait -host 127.0.0.1:7104 -keyFile operator.key")
}

// setService returns the command that takes a data centre or target out of service if out is true, and restores it
// otherwise.
func (c *Commander) setService(r *remoteCommand, out bool, shortHelp, description, exampleLine string) *ffcli.Command {
	r.addChangeFlags()
	return r.command(shortHelp, description, exampleLine,
		func(ctx context.Context, client *requester.Requester, args []string) error {
			if len(args) != 2 {
				return r.usageError()
			}
			req := presenter.SetService{
				Out:      out,
				Operator: r.operator,
				Force:    r.force,
				Request:  newRequestID(),
			}
			switch args[0] {
			case "dc":
				req.DataCentre = args[1]
			case "target":
				req.Target = args[1]
			default:
				return r.usageError()
			}
			a, err := client.Post(ctx, "/v1/service", req)
			if err != nil {
				return err
			}
			return r.reportAnswer(ctx, client, &a, func(h *presenter.Host) bool { return h.Index >= a.Index })
		})
}
