package dispatch

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
)

// Two copies of a request arrive at one instance. The first crashes its server; the second
// is refused the connection and looks for another server while the instance is still
// checking the first one. It has to wait for the result: placed at once, it would crash a
// second server, and each copy would crash one more at each instance.
func TestCopyWaitsForTheJudgementOfTheOneBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := servers.New()
		table.Replace([]servers.Identity{{ID: "s1", Service: "ledger"}, {ID: "s2", Service: "ledger"}}, time.Now())
		for _, id := range []string{"s1", "s2"} {
			table.Report("ledger", id, servers.Load{At: time.Now(), BootID: "boot"})
			table.Entry("ledger", id).SetLimit(4, 4)
		}
		l := &LocalDispatcher{
			Catalog: catalog.New(), Servers: table, Quarantine: quarantine.New(),
			Isolation: quarantine.NewIsolation(), Prefixes: NewPrefixIndexes("viti-levu"),
		}
		svc := &service.Service{Name: "ledger", Operations: map[string]service.Operation{"order": {Cost: 1}}}
		first, second := orderWork(time.Second), orderWork(time.Second)
		run, ok := l.Isolation.Begin(first.quarantineKey(), "s1", false, false)
		if !ok {
			t.Fatal("the first copy is not placed")
		}
		second.triedServers = []string{"s1"}
		go func() {
			time.Sleep(probeTimeout / 2)
			l.Quarantine.RecordCrash(first.quarantineKey(), "s1", "boot", time.Now())
			l.Isolation.End(run)
		}()
		if p, _ := l.place(t.Context(), second, svc); p != nil {
			t.Errorf("placed on %s before the crash check of the first copy's server", p.server.ID)
		}
	})
}

// Guards against sound prompts that are refused because they share their beginning with prompts that crash engines: they were answered
// while crashes were still to be confirmed, and each of these was dated by its confirmation.
func TestAnswerBeforeACrashIsConfirmedCountsAgainstIt(t *testing.T) {
	const (
		crashes      = 3
		answered     = 2                      // crashes before a sound prompt is answered
		confirmation = 300 * time.Millisecond // between two of them
	)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the check of a crash gets no response
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	l := &LocalDispatcher{
		Catalog: catalog.New(), Servers: servers.New(), Backend: backend.New(), Quarantine: quarantine.New(),
		Parts: quarantine.NewParts("self", func(uint64) bool { return true }),
	}
	defer l.Backend.Close()
	prompt := func(rest string) *Work {
		w := localWork(rest, 1)
		w.Generation.Prompt = strings.Repeat("the rules for recall notices say", 2*tokens.BlockBytes/32) + rest
		return w
	}
	sound := prompt("what is due")
	for n := range crashes {
		if n == answered {
			l.Parts.RecordAnswer(sound.parts(), time.Now())
		}
		server := servers.Server{ID: fmt.Sprint("e", n), Service: "lm", Address: "http://" + silent.Addr().String(), Load: servers.Load{BootID: "boot"}}
		l.detectCrash(t.Context(), prompt(fmt.Sprint("poison ", n)), server, false)
	}
	for n := range crashes {
		l.Quarantine.RecordBootID(fmt.Sprint("e", n), "the next boot", time.Now(), time.Now())
		time.Sleep(confirmation)
	}
	if l.Parts.Banned(sound.parts(), time.Now()) {
		t.Error("a beginning that was answered after all crashes but one is refused")
	}
}
