package inprocess

import (
	"io"
	"testing"

	"github.com/basilroute/basilroute/localfleet"
)

// Guards against giving up a generation that its engine continues, because all instances of the
// engine's failure domain are replaced in the middle of the stream.
func TestStreamOutlivesTheRestartOfItsDomain(t *testing.T) {
	f := startFleet(t)
	const tokens = 1500
	lines, first, _ := f.openForwarded(tokens)
	for _, id := range []string{"fraser-a-2-entry-1", "fraser-a-2-entry-2"} {
		f.Instances[id].Kill()
		delete(f.Instances, id)
	}
	if _, err := f.StartInstance(localfleet.Domain{Region: "fraser-a", Name: "fraser-a-2"}, "fraser-a-2-entry-3"); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	f.checkComplete("the stream", first+string(rest), tokens)
	if started := f.engine().Stats().Started; started != 1 {
		t.Errorf("%d generations", started)
	}
}
