package routed

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/state/backends"
)

// Guards against a start of a large fleet whose entries fill the log, so that the lines of requests
// are dropped.
func TestManyEntriesAreSummarized(t *testing.T) {
	for entries, want := range map[int]int{1: 1, maxEntryLines: maxEntryLines, maxEntryLines + 1: 1, 10_000: 1} {
		var out bytes.Buffer
		e := newEntryLog(slog.New(slog.NewJSONHandler(&out, nil)), entries)
		for i := range entries {
			e.changed(&backends.Server{ID: fmt.Sprint("s", i), Service: "lm", Domain: "suva-a"}, 1)
		}
		e.end()
		if lines := strings.Count(out.String(), "\n"); lines != want || out.Len() > 1<<14 {
			t.Errorf("%d entries: %d lines of %d bytes, want %d lines", entries, lines, out.Len(), want)
		}
		if entries > maxEntryLines && !strings.Contains(out.String(), fmt.Sprintf(`"services":{"lm":%d}`, entries)) {
			t.Errorf("%d entries: %s", entries, out.String())
		}
	}
}
