package problem

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// declaredTypes returns the values of the Type constants in problem.go, without their
// common prefix.
func declaredTypes(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "problem.go", nil, 0)
	must.NoError(t, err)
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Type") {
			return true
		}
		concatenation, ok := spec.Values[0].(*ast.BinaryExpr)
		must.True(t, ok, must.Sprintf("value of %s is not of the form typePrefix + \"name\"", spec.Names[0].Name))
		name, err := strconv.Unquote(concatenation.Y.(*ast.BasicLit).Value)
		must.NoError(t, err)
		names = append(names, name)
		return true
	})
	return names
}

// documentedTypes returns the problem types listed in the tables of docs/errors.md.
func documentedTypes(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("../docs/errors.md")
	must.NoError(t, err)
	var names []string
	inTypeTable := false
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 2 {
			inTypeTable = false
			continue
		}
		if cells[1] == " type " && cells[2] == " status " {
			inTypeTable = true
		}
		if inTypeTable && strings.HasPrefix(cells[1], " `") {
			names = append(names, strings.Trim(cells[1], " `"))
		}
	}
	return names
}

// Guards against a problem type that is missing from docs/errors.md, and against a
// documented problem type that does not exist.
func TestErrorReferenceMatchesTypes(t *testing.T) {
	declared := declaredTypes(t)
	must.SliceNotEmpty(t, declared)
	must.SliceContainsAll(t, declared, documentedTypes(t))
}
