package basilroute

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const module = "github.com/basilroute/basilroute/"

// layers are the directories from the top layer down. A package may import packages of
// its own layer and of the layers below.
var layers = [][]string{
	{"cmd", "e2e"},
	{"platform"},
	{"localfleet", "experiment", "examples"},
	{"instance", "loadgen", "capacity"},
	{"standin"},
	{"transport"},
	{"coordination"},
	{"state"},
	{"service"},
	{"yamldoc"},
	{"protocol"},
}

func layerOf(path string) int {
	top, _, _ := strings.Cut(strings.TrimPrefix(path, module), "/")
	for depth, names := range layers {
		for _, name := range names {
			if name == top {
				return depth
			}
		}
	}
	return -1
}

// packageImports holds the imports of a package without its tests.
type packageImports struct {
	ImportPath string
	Imports    []string
}

// packages parses the sources itself: go test does not track the files that a command
// started by a test reads, and would return a cached result after a change.
func packages(t *testing.T) []*packageImports {
	t.Helper()
	known := make(map[string]*packageImports)
	var all []*packageImports
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != "." && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "tools" || entry.Name() == "testdata") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		dir := filepath.ToSlash(filepath.Dir(path))
		if known[dir] == nil {
			known[dir] = &packageImports{ImportPath: module + dir}
			all = append(all, known[dir])
		}
		for _, spec := range file.Imports {
			known[dir].Imports = append(known[dir].Imports, strings.Trim(spec.Path.Value, `"`))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) < len(layers) {
		t.Fatalf("only %d packages found", len(all))
	}
	return all
}

// Decisions are testable without a network only as long as no layer below transport
// imports it, and with an import cycle between layers none of them could be understood
// by itself. Stand-ins and the load tool must not become part of the daemon.
func TestImportsFollowLayers(t *testing.T) {
	for _, p := range packages(t) {
		from := layerOf(p.ImportPath)
		if from < 0 {
			t.Errorf("%s is in no layer", p.ImportPath)
		}
		for _, imported := range p.Imports {
			if !strings.HasPrefix(imported, module) {
				continue
			}
			if to := layerOf(imported); to < from {
				t.Errorf("%s imports %s, which is in a higher layer", p.ImportPath, imported)
			}
			if strings.HasPrefix(p.ImportPath, module+"instance") && strings.HasPrefix(imported, module+"standin") {
				t.Errorf("%s imports the stand-in %s", p.ImportPath, imported)
			}
		}
	}
}

// forbidden are packages that decisions must not import.
var forbidden = []string{"net", "net/http", "os", "os/exec", "google.golang.org/grpc"}

// A decision that uses the network or reads files cannot run in virtual time, and a
// simulation of it would prove nothing about the product.
func TestDecisionsDoNoIO(t *testing.T) {
	for _, p := range packages(t) {
		top := strings.HasPrefix(p.ImportPath, module+"coordination/") || strings.HasPrefix(p.ImportPath, module+"state/")
		if !top {
			continue
		}
		for _, imported := range p.Imports {
			for _, name := range forbidden {
				if imported == name {
					t.Errorf("%s imports %s", p.ImportPath, name)
				}
			}
		}
	}
}

// platformNames are names of the platform's protocol. Only the package that translates
// the protocol may contain them: elsewhere they would tie the product to one deployment,
// and a change of the protocol would affect many packages.
var platformNames = []string{
	"X-Basilroute-", "/basilroute/kv", "/basilroute/resolve", "/basilroute/readiness", "BASILROUTE_NODE_FILE",
	"op/config", "op/evacuate", "Kv-Fetch", "Kv-From", "path_prefix", "expect_rev", "cold_left_ms",
}

func TestPlatformNamesStayInside(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (path == "platform" || path != "." && strings.HasPrefix(entry.Name(), ".")):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || path == "imports_test.go":
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range platformNames {
			if strings.Contains(string(source), name) {
				t.Errorf("%s contains the platform's name %q", path, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
