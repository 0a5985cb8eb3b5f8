package basilroute

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// responseReader is the one package that parses responses. It checks their heads first.
const responseReader = "transport/backendhttp"

// lenientClients are names of net/http that read responses without these checks.
var lenientClients = []string{"ReadResponse", "Transport", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"}

// Guards against a place that takes responses with an invalid head, as the client of net/http does.
func TestResponsesAreReadInOnePlace(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		name := entry.Name()
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != "." && (strings.HasPrefix(name, ".") || slices.Contains([]string{"tools", "testdata", "review"}, name)):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go"), strings.HasSuffix(path, "_test.go"), strings.HasSuffix(path, "_gen.go"):
			return nil
		}
		return checkClients(t, filepath.ToSlash(path))
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkClients(t *testing.T, path string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr:
			lenient := isNamed(node.X, "http") && slices.Contains(lenientClients, node.Sel.Name)
			if lenient && !(strings.HasPrefix(path, responseReader+"/") && node.Sel.Name == "ReadResponse") {
				t.Errorf("%s uses http.%s", files.Position(node.Pos()), node.Sel.Name)
			}
		case *ast.CompositeLit:
			if isSelector(node.Type, "Client") && !hasField(node, "Transport") {
				t.Errorf("%s: http.Client without a Transport", files.Position(node.Pos()))
			}
		case *ast.CallExpr:
			if generated, ok := node.Fun.(*ast.SelectorExpr); ok && isGeneratedClient(generated) && !namesClient(node.Args) {
				t.Errorf("%s: generated client without WithClient", files.Position(node.Pos()))
			}
		}
		return true
	})
	return nil
}

func isNamed(expression ast.Expr, name string) bool {
	id, ok := expression.(*ast.Ident)
	return ok && id.Name == name
}

func isSelector(expression ast.Expr, name string) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	return ok && isNamed(selector.X, "http") && selector.Sel.Name == name
}

func hasField(literal *ast.CompositeLit, name string) bool {
	return slices.ContainsFunc(literal.Elts, func(element ast.Expr) bool {
		field, ok := element.(*ast.KeyValueExpr)
		return ok && isNamed(field.Key, name)
	})
}

// isGeneratedClient reports whether a function makes a client of a generated API, which uses http.DefaultClient unless told.
func isGeneratedClient(function *ast.SelectorExpr) bool {
	id, ok := function.X.(*ast.Ident)
	return ok && strings.HasSuffix(id.Name, "api") && function.Sel.Name == "NewClient"
}

func namesClient(arguments []ast.Expr) bool {
	return slices.ContainsFunc(arguments, func(argument ast.Expr) bool {
		option, ok := argument.(*ast.CallExpr)
		if !ok {
			return false
		}
		function, ok := option.Fun.(*ast.SelectorExpr)
		return ok && function.Sel.Name == "WithClient"
	})
}
