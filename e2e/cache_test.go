package e2e

import (
	"os"
	"path/filepath"
	"testing"

	// go test keeps a result until a package that the test imports changes. These
	// tests run binaries that it does not see, so without this import, which reaches
	// all of the product but its commands, it would report an old result for new code.
	_ "github.com/basilroute/basilroute/localfleet"
)

// Reading the commands' sources makes go test run these tests again when one
// changes, as the import above does for the packages.
func TestResultsFollowTheCommands(t *testing.T) {
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
