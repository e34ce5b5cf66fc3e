// Package command is the operator command line. Each command is a thin layer over
// the library and the operator API's client.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/operatorapi"
	"github.com/jacinthrack/jacinthrack/problem"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command failed
	ExitUsage    = 2 // wrong arguments
	ExitInvalidConfig  = 3 // a document has mistakes
	ExitConflict = 4 // another operator was faster
	ExitPartial  = 5 // the change was made, and not every instance has it yet
	ExitOutcomeUnknown  = 6 // the change may have been made
)

// Environment variables that give defaults for flags.
const (
	EnvServer = "JACINTHRACK_SERVER"
	EnvToken  = "JACINTHRACK_TOKEN"
	EnvAuthor = "JACINTHRACK_AUTHOR"
)

// UsageError reports wrong arguments.
type UsageError struct{ Err error }

func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// PartialPropagationError reports a change that is not in force on every instance.
type PartialPropagationError struct{ UnreachedInstances []string }

func (e *PartialPropagationError) Error() string {
	return fmt.Sprintf("the change is not confirmed by %d entry instances: %v", len(e.UnreachedInstances), e.UnreachedInstances)
}

// options are the flags of every command.
type options struct {
	server string
	token  string
	author string
	output string
	out    io.Writer
}

func (o *options) client() *operatorapi.Client {
	return operatorapi.NewClient(o.server, o.token, o.author)
}

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot(out)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		printError(errOut, err)
	}
	return ExitCode(err)
}

func newRoot(out io.Writer) *cobra.Command {
	o := &options{out: out}
	root := &cobra.Command{
		Use:           "jacinthrack",
		Short:         "Steer traffic between regions by labels and selectors",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          args(cobra.NoArgs),
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", env(EnvServer, "http://127.0.0.1:7200"), "operator URL of an entry instance, or $"+EnvServer)
	flags.StringVar(&o.token, "token", os.Getenv(EnvToken), "operator token; prefer $"+EnvToken)
	flags.StringVar(&o.author, "author", env(EnvAuthor, os.Getenv("USER")), "name recorded with changes, or $"+EnvAuthor)
	flags.StringVar(&o.output, "output", outputTable, "output format: json or table")
	flags.Lookup("token").DefValue = ""
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		if err := cmd.ValidateRequiredFlags(); err != nil {
			return &UsageError{Err: err}
		}
		return o.validate()
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	root.AddCommand(configCommand(o), keyCommand(o), labelCommand(o), routeCommand(o), statusCommand(o),
		demoCommand(o), benchCommand(o), replayCommand(o))
	return root
}

func env(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (o *options) validate() error {
	if o.output != outputJSON && o.output != outputTable {
		return &UsageError{Err: &config.ValueError{Value: o.output, Allowed: "json or table"}}
	}
	return nil
}

// args turns the errors of a cobra argument check into usage errors.
func args(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, list []string) error {
		if err := check(cmd, list); err != nil {
			return &UsageError{Err: err}
		}
		return nil
	}
}

// group returns a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  args(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var (
		usage     *UsageError
		invalid   *config.ValidationError
		partial   *PartialPropagationError
		transport *operatorapi.TransportError
		document  *problem.Document
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalidConfig
	case errors.As(err, &partial):
		return ExitPartial
	case errors.As(err, &document):
		return documentExitCode(document)
	case errors.As(err, &transport) && !notConnected(transport):
		return ExitOutcomeUnknown
	default:
		return ExitFailure
	}
}

// notConnected reports whether a call failed before a connection was open, so that
// nothing was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func documentExitCode(d *problem.Document) int {
	switch {
	case d.Type == problem.TypeInvalidConfig:
		return ExitInvalidConfig
	case d.Type == problem.TypeConflict:
		return ExitConflict
	case d.Ran == problem.MayHaveRun:
		return ExitOutcomeUnknown
	default:
		return ExitFailure
	}
}

func printError(w io.Writer, err error) {
	fmt.Fprintf(w, "jacinthrack: %v\n", err)
	var document *problem.Document
	if errors.As(err, &document) && document.Extension != nil {
		writeJSON(w, document.Extension)
	}
}
