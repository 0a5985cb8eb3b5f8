package localfleet

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

// The only server of a service is in another region. An account without a home region
// is served there. An account that is bound to its home region is refused by the
// instances of both regions, as not run, and no engine receives its prompt.
func TestRequestStaysInItsHomeRegion(t *testing.T) {
	f, err := Start(Config{
		Domains: []Domain{{Region: "suva-a", Name: "suva-a-1", Instances: 1}, {Region: "labasa-a", Name: "labasa-a-1", Instances: 1, Engines: 1}},
		Engine:  engine.DefaultConfig(), ModelService: "notice-writer", Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	documents := []string{
		"kind: fleet\nname: fleet\nregions:\n  suva-a: {domains: [suva-a-1]}\n  labasa-a: {domains: [labasa-a-1]}\n",
		"kind: service\nname: notice-writer\ntype: model\n",
	}
	keys := make(map[string]string)
	for name, home := range map[string]string{"bound": "suva-a", "free": ""} {
		presented, record := catalog.NewKey(name + "-1")
		keys[name] = presented
		documents = append(documents, fmt.Sprintf("kind: account\nname: %s\nhome: %q\nrate: 1000000\nburst: 10000000\nkeys: [{id: %s, sha256: %s}]\n",
			name, home, record.ID, record.SHA256))
	}
	for _, document := range documents {
		if err := f.Apply(ctx, document); err != nil {
			t.Fatal(err)
		}
	}
	err = f.Await(ctx, func(i *instance.Instance) bool {
		return i.Ready() && i.Serves("notice-writer") && i.CanCharge("free", 1000) && i.CanCharge("bound", 1000)
	})
	if err != nil {
		t.Fatal(err)
	}
	for id, i := range f.Instances {
		if a, err := (crashingFleet{f, keys["bound"]}).complete(i, "bound to its home", 5); err != nil || a.Code != "no_server" || a.Run != "not_run" {
			t.Errorf("%s: bound account: %+v, %v", id, a, err)
		}
	}
	if started := f.Engines["labasa-a-1-engine-1"].Stats().Started; started != 0 {
		t.Errorf("the engine of another region started %d requests", started)
	}
	for id, i := range f.Instances {
		if a, err := (crashingFleet{f, keys["free"]}).complete(i, "free to run anywhere", 5); err != nil || a.Status != http.StatusOK {
			t.Errorf("%s: free account: %+v, %v", id, a, err)
		}
	}
}
