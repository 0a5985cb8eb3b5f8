package e2e

import (
	"os"
	"path/filepath"
	"testing"

	// go test caches a result until a package that the test imports changes. These
	// tests run binaries that go test does not track. This import covers all packages
	// except the commands, so that a change of the code invalidates the cached result.
	_ "github.com/basilroute/basilroute/localfleet"
)

// go test records the files that a test opens: reading the commands' sources
// invalidates the cached result when one of them changes, as the import above does
// for the packages.
func TestCommandSourcesAreTestInputs(t *testing.T) {
	sources, err := filepath.Glob("../cmd/*/*.go")
	if err != nil || len(sources) == 0 {
		t.Fatalf("no sources of the commands: %v", err)
	}
	for _, source := range sources {
		if _, err := os.ReadFile(source); err != nil {
			t.Error(err)
		}
	}
}
