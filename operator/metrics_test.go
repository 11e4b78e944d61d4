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

// metrics finds the names that the Go files of one package publish: a map and each literal key as map.key, other keys as
// map.*.
type metrics struct {
	maps  map[string]string
	names map[string]bool
}

func (m *metrics) declare(n ast.Node) bool {
	spec, ok := n.(*ast.ValueSpec)
	if !ok || len(spec.Values) == 0 {
		return true
	}
	for i, v := range spec.Values {
		if kind, name, ok := call(v); ok && strings.HasPrefix(kind, "expvar.New") {
			m.maps[spec.Names[i].Name] = name
			m.names[name] = true
		}
	}
	return true
}

func (m *metrics) use(n ast.Node) bool {
	expr, ok := n.(ast.Expr)
	if !ok {
		return true
	}
	kind, name, ok := call(expr)
	if !ok {
		return true
	}
	receiver, method, _ := strings.Cut(kind, ".")
	switch {
	case kind == "expvar.Publish":
		m.names[name] = true
	case m.maps[receiver] != "" && slices.Contains([]string{"Add", "AddFloat", "Set"}, method):
		m.names[m.maps[receiver]+"."+name] = true
	}
	return true
}

// call returns x.y and the first argument of x.y(argument): a literal without quotes, * for anything else.
func call(e ast.Expr) (kind, argument string, ok bool) {
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

// A counter that the pages do not name tells a newcomer nothing, and one that is gone misleads them.
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
			ast.Inspect(f, m.declare)
		}
		for _, f := range files {
			ast.Inspect(f, m.use)
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
