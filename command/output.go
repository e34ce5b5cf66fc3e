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

// table is the text form of a command's result.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// print writes value as JSON or t as a text table, according to the output format.
func (o *options) print(value any, t *table) error {
	if o.outputFormat == outputJSON {
		return writeJSON(o.stdout, value)
	}
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
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

// partialPropagationError returns a *PartialPropagationError unless every instance was
// reached.
func partialPropagationError(r operatorapi.PropagationStatus) error {
	if r.Complete() {
		return nil
	}
	return &PartialPropagationError{UnreachedInstances: r.NotReached}
}

// joinNames formats names as one table cell.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}
