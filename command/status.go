package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
)

func routeCommand(o *options) *cobra.Command {
	return group("route", "Look at routes", routeExplain(o))
}

func routeExplain(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "explain ROUTE",
		Short: "Say where a request of a route would go, and why",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			resp, err := o.client().Explain(cmd.Context(), list[0])
			if err != nil {
				return err
			}
			t := &table{header: []string{"SERVER", "CHOSEN", "REASON"}}
			if resp.Server != "" {
				t.add(resp.Server, "yes", resp.Tier+", "+resp.Reason)
			}
			for _, r := range resp.Rejected {
				t.add(r.Server, "no", strings.TrimPrefix(r.Reason, r.Server+": "))
			}
			return o.print(resp, t)
		},
	}
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show an entry instance and what it knows of the others",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"KIND", "NAME", "ZONE", "STATE", "DETAIL"}}
			t.add("self", resp.Name, resp.Zone, readiness(resp.Ready, resp.Draining),
				fmt.Sprintf("generation %d, keys %d, keys fresh %t", resp.Generation, resp.KeyGeneration, resp.KeysFresh))
			for _, in := range resp.Instances {
				t.add("instance", in.Name, in.Zone, in.State, in.CallerAddress+", silent "+strconv.FormatInt(in.SinceLastSeenMS, 10)+" ms")
			}
			for _, s := range resp.Servers {
				t.add("server", s.Name, s.Zone, s.State, fmt.Sprintf("weight %.2f, in use %d, %s", s.Weight, s.InFlight, s.Reason))
			}
			for _, l := range resp.Limits {
				t.add("limit", l.Name, "-", "-", fmt.Sprintf("share %.1f/s, burst %.1f", l.RatePerSecond, l.Burst))
			}
			return o.print(resp, t)
		},
	}
}

func readiness(ready, draining bool) string {
	switch {
	case draining:
		return "draining"
	case ready:
		return "ready"
	default:
		return "not ready"
	}
}
