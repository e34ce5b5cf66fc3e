package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/jacinthrack/jacinthrack/operatorapi"
)

// Output formats.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// table is a result as rows of text.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes value as JSON, or its table.
func (o *options) print(value any, t *table) error {
	if o.output == outputJSON {
		return writeJSON(o.out, value)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// reachError returns a *PartialPropagationError unless every instance was reached.
func reachError(r operatorapi.PropagationStatus) error {
	if r.Complete() {
		return nil
	}
	return &PartialPropagationError{UnreachedInstances: r.NotReached}
}

func names(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}
