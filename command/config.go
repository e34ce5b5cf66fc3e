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
	return group("config", "Check, publish and read configurations",
		configValidate(o), configPublish(o), configShow(o), configHistory(o), configDiff(o))
}

// readDocument reads and validates a document.
func readDocument(file string) (*config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return config.Parse(data)
}

func configValidate(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a document and list every mistake",
		Args:  args(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, list []string) error {
			doc, err := readDocument(list[0])
			if err != nil {
				return err
			}
			t := &table{header: []string{"ROUTES", "CUSTOMERS", "BACKEND SERVERS", "CLIENT BLOCKS"}}
			t.add(strconv.Itoa(len(doc.Routes)), strconv.Itoa(len(doc.Customers)), strconv.Itoa(len(doc.BackendServers)), strconv.Itoa(len(doc.ClientBlocks)))
			return o.print(validResult{Valid: true}, t)
		},
	}
}

type validResult struct {
	Valid bool `json:"valid"`
}

func configPublish(o *options) *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a document as the next generation",
		Long: `Publish a document as the next generation.

The generation that the document was based on must still be the current one.
Without --base it is the current one at the start of the command.`,
		Args: args(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, list []string) error {
			doc, err := readDocument(list[0])
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

func currentGeneration(cmd *cobra.Command, client *operatorapi.Client) (uint64, error) {
	history, err := client.History(cmd.Context(), 1)
	if err != nil || len(history.Generations) == 0 {
		return 0, err
	}
	return history.Generations[0].Generation, nil
}

func (o *options) printPublished(resp operatorapi.PublishResponse) error {
	t := &table{header: []string{"GENERATION", "CHANGE", "IN FORCE", "NOT REACHED"}}
	t.add(strconv.FormatUint(resp.Published.Generation, 10), resp.Published.ChangeID, names(resp.Propagation.InForce), names(resp.Propagation.NotReached))
	if err := o.print(resp, t); err != nil {
		return err
	}
	return reachError(resp.Propagation)
}

func configShow(o *options) *cobra.Command {
	var generation uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Print a document as JSON",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().LoadConfig(cmd.Context(), generation)
			if err != nil {
				return err
			}
			return writeJSON(o.out, resp.Document)
		},
	}
	cmd.Flags().Uint64Var(&generation, "generation", 0, "generation; 0 for the current one")
	return cmd
}

func configHistory(o *options) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List generations, newest first",
		Args:  args(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			resp, err := o.client().History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			t := &table{header: []string{"GENERATION", "AUTHOR", "PUBLISHED", "CHANGE"}}
			for _, p := range resp.Generations {
				t.add(strconv.FormatUint(p.Generation, 10), p.Author, p.PublishedAt.Format(time.RFC3339), p.ChangeID)
			}
			return o.print(resp, t)
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of generations")
	return cmd
}

func configDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "Compare two documents, each a file or a generation number",
		Args:  args(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, list []string) error {
			from, err := o.document(cmd, list[0])
			if err != nil {
				return err
			}
			to, err := o.document(cmd, list[1])
			if err != nil {
				return err
			}
			changes := config.Diff(from, to)
			t := &table{header: []string{"PATH", "OLD", "NEW"}}
			for _, c := range changes {
				t.add(c.Path, compact(c.Old), compact(c.New))
			}
			return o.print(changes, t)
		},
	}
}

// document returns the document in a file or of a generation.
func (o *options) document(cmd *cobra.Command, name string) (*config.Document, error) {
	generation, err := strconv.ParseUint(name, 10, 63)
	if err != nil {
		return readDocument(name)
	}
	resp, err := o.client().LoadConfig(cmd.Context(), generation)
	return resp.Document, err
}

func compact(value json.RawMessage) string {
	if len(value) == 0 {
		return "-"
	}
	return string(value)
}
