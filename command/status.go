package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

func routeCommand(o *options) *cobra.Command {
	return commandGroup("route", "Look at routes", routeExplainCommand(o))
}

func routeExplainCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ROUTE",
		Short: "Say where a request of a route would go, and why",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			resp, err := o.client().Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			t := &table{header: []string{"SERVER", "CHOSEN", "REASON"}}
			if resp.Server != "" {
				t.addRow(resp.Server, "yes", resp.Tier+", "+resp.Reason)
			}
			for _, r := range resp.Rejected {
				t.addRow(r.Server, "no", strings.TrimPrefix(r.Reason, r.Server+": "))
			}
			return o.print(resp, t)
		},
	}
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show an entry instance and what it knows of the others",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"KIND", "NAME", "ZONE", "STATE", "DETAIL"}}
			t.addRow("self", resp.Name, resp.Zone, readinessState(resp.Ready, resp.Draining),
				fmt.Sprintf("generation %d, keys %d, keys fresh %t", resp.Generation, resp.KeyGeneration, resp.KeysFresh))
			for _, in := range resp.Instances {
				t.addRow("instance", in.Name, in.Zone, in.State, in.CallerAddress+", silent "+strconv.FormatInt(in.SinceLastSeenMS, 10)+" ms")
			}
			for _, s := range resp.Servers {
				t.addRow("server", s.Name, s.Zone, s.State, fmt.Sprintf("weight %.2f, in use %d, %s", s.Weight, s.InFlight, s.Reason))
			}
			for _, l := range resp.Limits {
				t.addRow("limit", l.Name, "-", "-", fmt.Sprintf("share %.1f/s, burst %.1f", l.RatePerSecond, l.Burst))
			}
			return o.print(resp, t)
		},
	}
}

// readinessState returns the state of an entry instance for the status table.
func readinessState(ready, draining bool) string {
	switch {
	case draining:
		return "draining"
	case ready:
		return "ready"
	default:
		return "not ready"
	}
}
