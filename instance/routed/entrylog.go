package routed

import (
	"log/slog"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/state/backends"
)

const (
	// maxEntryLines bounds the lines of one update of the backend servers' entries. At a start the
	// entries of the whole fleet come at once: thousands of lines would fill the log's buffer, and the
	// lines of requests would be dropped.
	maxEntryLines = 32
	// maxListedEntries and maxListedGone bound the ids that a summary names.
	maxListedEntries = 8
	maxListedGone    = 64 // whoever asks why a request failed looks for these
)

// entryLog logs one update of the backend servers' entries: a line for each, or a summary of many.
type entryLog struct {
	log      *slog.Logger
	summary  bool
	services map[string]int // changed entries, by service
	domains  map[string]int // changed entries, by failure domain
	first    []string       // ids of changed entries
	gone     []string       // ids of removed entries
	removed  int
	broken   int
}

func newEntryLog(log *slog.Logger, changes int) *entryLog {
	return &entryLog{log: log, summary: changes > maxEntryLines, services: make(map[string]int), domains: make(map[string]int)}
}

func (e *entryLog) changed(s *backends.Server, revision int64) {
	if !e.summary {
		e.log.Info("server_entry", "server", s.ID, "service", s.Service, "domain", s.Domain, "build", s.Version, "born", s.StartUnixMs,
			"draining", s.Draining, "cold_ms", s.ColdRemaining.Milliseconds(), "left_ms", s.TimeLeft.Milliseconds(),
			"revision", configwatch.FormatRank(revision))
		return
	}
	e.services[s.Service]++
	e.domains[s.Domain]++
	if len(e.first) < maxListedEntries {
		e.first = append(e.first, s.ID)
	}
}

func (e *entryLog) entryGone(id string, revision int64) {
	e.removed++
	if !e.summary {
		e.log.Info("server_entry_gone", "server", id, "revision", configwatch.FormatRank(revision))
	} else if len(e.gone) < maxListedGone {
		e.gone = append(e.gone, id)
	}
}

func (e *entryLog) unreadable(key string, err error) {
	e.broken++
	if !e.summary || e.broken == 1 {
		e.log.Info("server_entry_unreadable", "key", key, "error", err.Error())
	}
}

// end logs the summary.
func (e *entryLog) end() {
	if e.summary {
		e.log.Info("server_entries", "services", e.services, "domains", e.domains, "first", e.first,
			"removed", e.removed, "gone", e.gone, "unreadable", e.broken)
	}
}
