package command

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/operatorapi"
)

func configCommand(o *options) *cobra.Command {
	return commandGroup("config", "Check, publish and read configurations",
		configValidateCommand(o), configPublishCommand(o), configShowCommand(o), configHistoryCommand(o), configDiffCommand(o))
}

// readDocument reads a configuration document from a file and validates it.
func readDocument(file string) (*config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return config.Parse(data)
}

func configValidateCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document and list every mistake",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			t := &table{header: []string{"ROUTES", "CUSTOMERS", "BACKEND SERVERS", "CLIENT BLOCKS"}}
			t.addRow(strconv.Itoa(len(doc.Routes)), strconv.Itoa(len(doc.Customers)), strconv.Itoa(len(doc.BackendServers)), strconv.Itoa(len(doc.ClientBlocks)))
			return o.print(validationResult{Valid: true}, t)
		},
	}
}

// validationResult is the JSON output of config validate for a valid document.
type validationResult struct {
	Valid bool `json:"valid"`
}

func configPublishCommand(o *options) *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a document as the next generation",
		Long: `Publish a document as the next generation.

The generation that the document was based on must still be the current one.
Without --base it is the current one at the start of the command.`,
		Args: usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readDocument(args[0])
			if err != nil {
				return err
			}
			client := o.client()
			if !cmd.Flags().Changed("base") {
				base, err = currentGeneration(cmd, client)
				if err != nil {
					return err
				}
			}
			resp, err := client.Publish(cmd.Context(), doc, base)
			if err != nil {
				return err
			}
			return o.printPublished(resp)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "generation that the document was based on")
	return cmd
}

// currentGeneration returns the newest generation, or 0 if nothing was published.
func currentGeneration(cmd *cobra.Command, client *operatorapi.Client) (uint64, error) {
	history, err := client.History(cmd.Context(), 1)
	if err != nil || len(history.Generations) == 0 {
		return 0, err
	}
	return history.Generations[0].Generation, nil
}

// printPublished prints a published generation and returns *PartialPropagationError
// unless every entry instance has it in force.
func (o *options) printPublished(resp operatorapi.PublishResponse) error {
	t := &table{header: []string{"GENERATION", "CHANGE", "IN FORCE", "NOT REACHED"}}
	t.addRow(strconv.FormatUint(resp.Published.Generation, 10), resp.Published.ChangeID, joinNames(resp.Propagation.InForce), joinNames(resp.Propagation.NotReached))
	if err := o.print(resp, t); err != nil {
		return err
	}
	return partialPropagationError(resp.Propagation)
}

func configShowCommand(o *options) *cobra.Command {
	var generation uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print a document as JSON",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().LoadConfig(cmd.Context(), generation)
			if err != nil {
				return err
			}
			return writeJSON(o.stdout, resp.Document)
		},
	}
	cmd.Flags().Uint64Var(&generation, "generation", 0, "generation; 0 for the current one")
	return cmd
}

func configHistoryCommand(o *options) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List generations, newest first",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			t := &table{header: []string{"GENERATION", "AUTHOR", "PUBLISHED", "CHANGE"}}
			for _, p := range resp.Generations {
				t.addRow(strconv.FormatUint(p.Generation, 10), p.Author, p.PublishedAt.Format(time.RFC3339), p.ChangeID)
			}
			return o.print(resp, t)
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of generations")
	return cmd
}

func configDiffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "Compare two documents, each a file or a generation number",
		Args:  usageArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := o.loadDocument(cmd, args[0])
			if err != nil {
				return err
			}
			to, err := o.loadDocument(cmd, args[1])
			if err != nil {
				return err
			}
			changes := config.Diff(from, to)
			t := &table{header: []string{"PATH", "OLD", "NEW"}}
			for _, c := range changes {
				t.addRow(c.Path, jsonOrDash(c.Old), jsonOrDash(c.New))
			}
			return o.print(changes, t)
		},
	}
}

// loadDocument returns the document of a generation if name is a number, and otherwise
// that in the file of this name.
func (o *options) loadDocument(cmd *cobra.Command, name string) (*config.Document, error) {
	generation, err := strconv.ParseUint(name, 10, 63)
	if err != nil {
		return readDocument(name)
	}
	resp, err := o.client().LoadConfig(cmd.Context(), generation)
	return resp.Document, err
}

// jsonOrDash formats one side of a change as a table cell.
func jsonOrDash(value json.RawMessage) string {
	if len(value) == 0 {
		return "-"
	}
	return string(value)
}
