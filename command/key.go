package command

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/operatorapi"
)

func keyCommand(o *options) *cobra.Command {
	return commandGroup("key", "Grant, withdraw and list keys", keyGrantCommand(o), keyWithdrawCommand(o), keyListCommand(o))
}

func keyGrantCommand(o *options) *cobra.Command {
	var req operatorapi.GrantRequest
	cmd := &cobra.Command{
		Use:   "grant --customer NAME [--route NAME]...",
		Short: "Create a key and print it once",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().Grant(cmd.Context(), req)
			if err != nil {
				return err
			}
			t := &table{header: []string{"KEY ID", "KEY"}}
			t.addRow(resp.KeyID, resp.Key)
			return o.print(resp, t)
		},
	}
	cmd.Flags().StringVar(&req.Customer, "customer", "", "customer that owns the key")
	cmd.Flags().StringSliceVar(&req.Routes, "route", nil, "route that the key may use; without it, all routes")
	_ = cmd.MarkFlagRequired("customer")
	return cmd
}

func keyWithdrawCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw KEY-ID",
		Short: "Withdraw a key for ever",
		Long: `Withdraw a key for ever.

Exit code 5 means that some entry instances have not confirmed the withdrawal and
may still accept the key. The command can be repeated.`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			resp, err := o.client().Withdraw(cmd.Context(), operatorapi.WithdrawRequest{KeyID: args[0]})
			if err != nil {
				return err
			}
			t := &table{header: []string{"KEY ID", "RECORDED", "IN FORCE", "CONFIRMED BY", "NOT REACHED"}}
			t.addRow(resp.KeyID, strconv.FormatBool(resp.Recorded), strconv.FormatBool(resp.InForce), joinNames(resp.Propagation.InForce), joinNames(resp.Propagation.NotReached))
			if err := o.print(resp, t); err != nil {
				return err
			}
			if !resp.InForce {
				return &PartialPropagationError{UnreachedInstances: resp.Propagation.NotReached}
			}
			return nil
		},
	}
}

func keyListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List keys without their secrets",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().Keys(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"KEY ID", "CUSTOMER", "ROUTES", "WITHDRAWN"}}
			for _, k := range resp.Keys {
				t.addRow(k.KeyID, k.Customer, joinNames(k.Routes), strconv.FormatBool(k.Withdrawn))
			}
			return o.print(resp, t)
		},
	}
}

func labelCommand(o *options) *cobra.Command {
	return commandGroup("label", "Change labels", labelSetCommand(o), labelUnsetCommand(o))
}

func labelSetCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "set KIND NAME LABEL=VALUE...",
		Short: "Set labels of a backend-server, customer, route or service",
		Args:  usageArgs(cobra.MinimumNArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			set := make(map[string]string)
			for _, pair := range args[2:] {
				label, value, ok := strings.Cut(pair, "=")
				if !ok {
					return &UsageError{Err: &config.ValueError{Value: pair, Allowed: "LABEL=VALUE"}}
				}
				set[label] = value
			}
			return o.changeLabels(cmd, operatorapi.LabelRequest{Kind: operatorapi.ObjectKind(args[0]), Name: args[1], Set: set})
		},
	}
}

func labelUnsetCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "unset KIND NAME LABEL...",
		Short: "Remove labels",
		Args:  usageArgs(cobra.MinimumNArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.changeLabels(cmd, operatorapi.LabelRequest{Kind: operatorapi.ObjectKind(args[0]), Name: args[1], Unset: args[2:]})
		},
	}
}

func (o *options) changeLabels(cmd *cobra.Command, req operatorapi.LabelRequest) error {
	resp, err := o.client().SetLabels(cmd.Context(), req)
	if err != nil {
		return err
	}
	return o.printPublished(resp)
}
