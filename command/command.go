// Package command implements the operator command line. Each command is a thin layer
// over the library packages and the client of the operator API.
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
	ExitOK             = 0
	ExitFailure        = 1 // the command failed
	ExitUsage          = 2 // wrong arguments
	ExitInvalidConfig  = 3 // a configuration document is invalid
	ExitConflict       = 4 // the configuration was changed concurrently
	ExitPartial        = 5 // the change was made, but is not confirmed by every entry instance
	ExitOutcomeUnknown = 6 // the outcome is unknown: the change may have been made
)

// Environment variables that set the defaults of flags.
const (
	EnvServer = "JACINTHRACK_SERVER"
	EnvToken  = "JACINTHRACK_TOKEN"
	EnvAuthor = "JACINTHRACK_AUTHOR"
)

// UsageError reports invalid arguments or flags.
type UsageError struct{ Err error }

func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// PartialPropagationError reports a change that was made, but is not confirmed by every
// entry instance.
type PartialPropagationError struct{ UnreachedInstances []string }

func (e *PartialPropagationError) Error() string {
	return fmt.Sprintf("the change is not confirmed by %d entry instances: %v", len(e.UnreachedInstances), e.UnreachedInstances)
}

// options are the flags that all commands share, and the destination of their output.
type options struct {
	server       string
	token        string
	author       string
	outputFormat string
	stdout       io.Writer
}

func (o *options) client() *operatorapi.Client {
	return operatorapi.NewClient(o.server, o.token, o.author)
}

// Run executes the command line with the given arguments and returns the exit code.
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
	o := &options{stdout: out}
	root := &cobra.Command{
		Use:           "jacinthrack",
		Short:         "Steer traffic between regions by labels and selectors",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          usageArgs(cobra.NoArgs),
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", envOrDefault(EnvServer, "http://127.0.0.1:7200"), "operator URL of an entry instance, or $"+EnvServer)
	flags.StringVar(&o.token, "token", os.Getenv(EnvToken), "operator token; prefer $"+EnvToken)
	flags.StringVar(&o.author, "author", envOrDefault(EnvAuthor, os.Getenv("USER")), "name recorded with changes, or $"+EnvAuthor)
	flags.StringVar(&o.outputFormat, "output", outputTable, "output format: json or table")
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

// envOrDefault returns the value of an environment variable, or fallback if it is unset
// or empty.
func envOrDefault(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (o *options) validate() error {
	if o.outputFormat != outputJSON && o.outputFormat != outputTable {
		return &UsageError{Err: &config.ValueError{Value: o.outputFormat, Allowed: "json or table"}}
	}
	return nil
}

// usageArgs returns a cobra argument check whose errors are usage errors.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return &UsageError{Err: err}
		}
		return nil
	}
}

// commandGroup returns a command that only has subcommands.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  usageArgs(cobra.NoArgs),
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
		return problemExitCode(document)
	case errors.As(err, &transport) && !failedToConnect(transport):
		return ExitOutcomeUnknown
	default:
		return ExitFailure
	}
}

// failedToConnect reports whether a call failed before a connection was established, so
// that no request was sent.
func failedToConnect(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// problemExitCode returns the exit code for a problem document from the operator API.
func problemExitCode(d *problem.Document) int {
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

// printError prints an error and the extension of its problem document, if any.
func printError(w io.Writer, err error) {
	fmt.Fprintf(w, "jacinthrack: %v\n", err)
	var document *problem.Document
	if errors.As(err, &document) && document.Extension != nil {
		writeJSON(w, document.Extension)
	}
}
