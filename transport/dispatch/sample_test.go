package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

// Twelve callers open long streams on one idle engine. The limit of the engine starts at
// four and rises with every first token, so all callers get their first token while all
// streams are running. Guards against a limit that rises only when answers complete: the
// fifth caller then waited until a stream ended, or was refused although the engine was
// idle.
func TestLimitRisesDuringStreams(t *testing.T) {
	const callers, endless = 12, 1 << 20
	l, _, _ := localEngine(t)
	document, err := service.Parse("", []byte("kind: service\nname: lm\ntype: model\nclasses: {interactive: {max_wait: 20s}}\n"))
	if err != nil {
		t.Fatal(err)
	}
	l.Catalog.Put(document)
	l.Admission, l.Prefixes, l.Isolation = NewAdmission(l.Servers), NewPrefixIndexes(""), quarantine.NewIsolation()
	l.Servers.Report("lm", "e", servers.Load{At: time.Now(), BootID: "boot", PrefillRate: 20000})
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for n := range callers {
		sink := newCollectingSink()
		ended := make(chan error, 1)
		w := localWork(fmt.Sprintf("r%d", n), endless)
		w.MaxWait, w.Deadline = 20*time.Second, time.Now().Add(time.Hour)
		running.Go(func() { ended <- l.Run(ctx, w, sink) })
		select {
		case <-sink.first:
		case err := <-ended:
			t.Fatalf("stream %d: %v", n, err)
		}
	}
}
