package operator

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// metrics collects the names that the Go files of one package publish with expvar: the name of a map, map.key for each
// literal key of a map, and map.* for any other key.
type metrics struct {
	// maps maps the variable of each expvar map to its published name.
	maps  map[string]string
	names map[string]bool
}

func (m *metrics) addMaps(n ast.Node) bool {
	spec, ok := n.(*ast.ValueSpec)
	if !ok || len(spec.Values) == 0 {
		return true
	}
	for i, v := range spec.Values {
		if function, name, ok := parseCall(v); ok && strings.HasPrefix(function, "expvar.New") {
			m.maps[spec.Names[i].Name] = name
			m.names[name] = true
		}
	}
	return true
}

func (m *metrics) addKeys(n ast.Node) bool {
	expr, ok := n.(ast.Expr)
	if !ok {
		return true
	}
	function, name, ok := parseCall(expr)
	if !ok {
		return true
	}
	receiver, method, _ := strings.Cut(function, ".")
	switch {
	case function == "expvar.Publish":
		m.names[name] = true
	case m.maps[receiver] != "" && slices.Contains([]string{"Add", "AddFloat", "Set"}, method):
		m.names[m.maps[receiver]+"."+name] = true
	}
	return true
}

// parseCall returns x.y and the first argument of a call x.y(argument, ...): a literal without quotes, * for anything
// else.
func parseCall(e ast.Expr) (function, argument string, ok bool) {
	c, isCall := e.(*ast.CallExpr)
	if !isCall || len(c.Args) == 0 {
		return "", "", false
	}
	sel, isSel := c.Fun.(*ast.SelectorExpr)
	if !isSel {
		return "", "", false
	}
	x, isIdent := sel.X.(*ast.Ident)
	if !isIdent {
		return "", "", false
	}
	argument = "*"
	if lit, isLit := c.Args[0].(*ast.BasicLit); isLit {
		argument, _ = strconv.Unquote(lit.Value)
	}
	return x.Name + "." + sel.Sel.Name, argument, true
}

// Guards against a metric that docs/METRICS.md does not explain, and against an entry there for a metric that is gone.
func TestMetricsPageNamesEachCounter(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob(filepath.Join("..", "*", "*.go"))
	c.Assert(err, qt.IsNil)
	packages := make(map[string][]*ast.File)
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			c.Assert(err, qt.IsNil)
			packages[filepath.Dir(file)] = append(packages[filepath.Dir(file)], f)
		}
	}
	found := make(map[string]bool)
	for _, files := range packages {
		m := metrics{maps: make(map[string]string), names: found}
		for _, f := range files {
			ast.Inspect(f, m.addMaps)
		}
		for _, f := range files {
			ast.Inspect(f, m.addKeys)
		}
	}
	page, err := os.ReadFile(filepath.Join("..", "docs", "METRICS.md"))
	c.Assert(err, qt.IsNil)
	listed := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		c.Check(listed[row[1]], qt.IsFalse, qt.Commentf("%s is listed twice", row[1]))
		listed[row[1]] = true
	}
	for name := range found {
		c.Check(listed[name], qt.IsTrue, qt.Commentf("docs/METRICS.md lacks `%s`", name))
	}
	for name := range listed {
		c.Check(found[name], qt.IsTrue, qt.Commentf("docs/METRICS.md lists `%s`, which is not in the code", name))
	}
}
