package placement

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// Guards against a server that is taken for the build of its entry although another process has started in its place, and against one
// whose build stays unknown when its entry is up to date.
func TestBuildOfAnEndedServerIsUnknownUntilItsEntryIsRenewed(t *testing.T) {
	known := Build{Known: true, Version: "v1"}
	entry := backends.Entry{Server: backends.Server{ID: "w-0", Version: "v1"}, Incarnation: 1}
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		currentSince time.Time
		renewed      bool
		after        time.Duration // the end
		want         Build
	}{
		"at once":                         {currentSince: start, want: Build{}},
		"after a while":                   {currentSince: start, after: entryRenewal, want: known},
		"while the store is away":         {after: time.Hour, want: Build{}},
		"since the store has come back":   {currentSince: start.Add(time.Hour), after: time.Hour + time.Second, want: Build{}},
		"a while after it has come back":  {currentSince: start.Add(time.Hour), after: time.Hour + entryRenewal, want: known},
		"with an entry of a new process":  {currentSince: start, renewed: true, want: known},
		"with a new entry from elsewhere": {renewed: true, want: known},
	} {
		t.Run(name, func(t *testing.T) {
			p := New()
			p.Configure(Settings{CurrentSince: tc.currentSince})
			p.Change([]backends.Entry{entry}, nil)
			placed := p.Place(&Request{Deadline: start.Add(time.Minute)}, start).Placement
			if got := p.Build(placed, start); got != known {
				t.Errorf("before the end: %+v", got)
			}
			p.RecordDown(placed, start)
			if tc.renewed {
				next := entry
				next.Incarnation++
				p.Change([]backends.Entry{next}, nil)
			}
			now := start.Add(tc.after)
			if allowed := p.allowsBuild(p.servers[0], known, now); allowed != (tc.want == known) {
				t.Errorf("a stream of the entry's build may go on there: %v", allowed)
			}
			if got := p.build(p.servers[0], now); got != tc.want {
				t.Errorf("%+v, want %+v", got, tc.want)
			}
		})
	}
}
