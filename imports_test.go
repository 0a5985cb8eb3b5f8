package basilroute

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/basilroute/basilroute/"

// layers are the directories from the top down. A package may import what stands
// below its own layer, and packages of its own layer.
var layers = [][]string{
	{"cmd", "e2e"},
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

type listed struct {
	ImportPath string
	Imports    []string
}

func packages(t *testing.T) []listed {
	t.Helper()
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", "./...").Output()
	if err != nil {
		t.Fatal(err)
	}
	var all []listed
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p listed
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
}

// Decisions stay testable without a network only as long as nothing below the
// transport imports it, and a cycle of layers would make each part impossible to
// read alone. Stand-ins and the load tool are never part of the product's daemon.
func TestImportsPointOneWay(t *testing.T) {
	for _, p := range packages(t) {
		if !strings.HasPrefix(p.ImportPath, module) {
			continue // the root has tests only
		}
		from := layerOf(p.ImportPath)
		if from < 0 {
			t.Errorf("%s stands in no layer", p.ImportPath)
		}
		for _, imported := range p.Imports {
			if !strings.HasPrefix(imported, module) {
				continue
			}
			if to := layerOf(imported); to < from {
				t.Errorf("%s imports %s, which stands above it", p.ImportPath, imported)
			}
			if strings.HasPrefix(p.ImportPath, module+"instance") && strings.HasPrefix(imported, module+"standin") {
				t.Errorf("%s imports the stand-in %s", p.ImportPath, imported)
			}
		}
	}
}

// io names packages that decisions have no use for.
var forbidden = []string{"net", "net/http", "os", "os/exec", "google.golang.org/grpc"}

// A decision that reads the network or the wall's files cannot be run in virtual
// time, and a test of it would prove nothing about the product.
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
