package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/localfleet"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

const demoTimeout = 30 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run three regions and the stand-ins in this process and show a few requests",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "keep", Usage: "leave it running and print commands to try"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the instances' log"},
		},
		Action: runDemo,
	}
}

var demoDocuments = []string{
	`kind: fleet
name: fleet
regions:
  suva-a: {domains: [suva-a-1, suva-a-2]}
  labasa-a: {domains: [labasa-a-1, labasa-a-2]}
  lakeba-a: {domains: [lakeba-a-1]}
`,
	`kind: service
name: notice-writer
type: model
`,
	`kind: service
name: recall-ledger
type: plain
operations:
  withdraw-batch: {repeatable: false, cost: 10}
  read-batch: {repeatable: true, cost: 1}
`,
}

// demo is the running fleet with the state of the demo's steps.
type demo struct {
	fleet  *localfleet.Fleet
	out    io.Writer
	client *http.Client
	url    string // callers' URL of the instance used
	admin  string // operators' URL of the same instance
	key    string
	rows   [][2]string
}

func runDemo(ctx context.Context, command *cli.Command) error {
	log := slog.New(slog.DiscardHandler)
	if command.Bool("verbose") {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	fleet, err := localfleet.Start(localfleet.Config{
		Domains: []localfleet.Domain{
			{Region: "suva-a", Name: "suva-a-1", Instances: 2, Engines: 3, PlainServers: 1},
			{Region: "suva-a", Name: "suva-a-2", Instances: 2, Engines: 3},
			{Region: "labasa-a", Name: "labasa-a-1", Instances: 1, Engines: 2, PlainServers: 1},
			{Region: "labasa-a", Name: "labasa-a-2", Instances: 1, Engines: 2},
			{Region: "lakeba-a", Name: "lakeba-a-1", Instances: 2, Engines: 2, PlainServers: 1},
		},
		ModelService: "notice-writer", PlainService: "recall-ledger", Engine: engine.DefaultConfig(), Log: log,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	d := &demo{fleet: fleet, out: command.Root().Writer, client: newHTTPClient(nil)}
	limited, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := d.walk(limited); err != nil {
		return err
	}
	if !command.Bool("keep") {
		return nil
	}
	d.printCommands()
	<-ctx.Done()
	return nil
}

func (d *demo) walk(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.configure, d.streamAnswer, d.runOperation, d.withdrawnKey, d.oversizedRequest,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.table()
}

func (d *demo) configure(ctx context.Context) error {
	var key service.Key
	d.key, key = catalog.NewKey("suva-grocers-1")
	account := fmt.Sprintf("kind: account\nname: suva-grocers\nhome: suva-a\nrate: 2000\nburst: 20000\nkeys:\n  - {id: %s, sha256: %s}\n", key.ID, key.SHA256)
	for _, document := range append(demoDocuments, account) {
		if err := d.fleet.Apply(ctx, document); err != nil {
			return err
		}
	}
	callers, _, operators := d.fleet.Instances[d.fleet.StartOrder[0]].Addresses()
	d.url, d.admin = "http://"+callers, "http://"+operators
	start := time.Now()
	err := d.fleet.Await(ctx, func(i *instance.Instance) bool {
		return i.Ready() && i.Serves("notice-writer") && i.Serves("recall-ledger") && i.CanCharge("suva-grocers", demoCost)
	})
	d.addRow("instances ready in three regions", fmt.Sprintf("%d, after %s", len(d.fleet.Instances), time.Since(start).Round(time.Millisecond)))
	return err
}

// demoCost is an upper bound on the tokens of the demo's largest request.
const demoCost = 200

func (d *demo) addRow(what, seen string) { d.rows = append(d.rows, [2]string{what, seen}) }

func (d *demo) post(ctx context.Context, path, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.url+path, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	req.Header.Set("Content-Type", "application/json")
	return d.client.Do(req)
}

func (d *demo) streamAnswer(ctx context.Context) error {
	start := time.Now()
	resp, err := d.post(ctx, "/v1/completions", `{"model":"notice-writer","prompt":"Recall notice for tinned fish, batch 7","max_tokens":24,"stream":true}`)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Fprintln(d.out, "A streamed answer:")
	count, first := 0, time.Duration(0)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		if count++; count == 1 {
			first = time.Since(start)
		}
		var event struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &event); err == nil && len(event.Choices) > 0 {
			fmt.Fprint(d.out, event.Choices[0].Text)
		}
	}
	fmt.Fprintf(d.out, "\n\n")
	d.addRow("streamed answer", fmt.Sprintf("status %d, %d events, the first after %s", resp.StatusCode, count, first.Round(time.Millisecond)))
	return lines.Err()
}

func (d *demo) runOperation(ctx context.Context) error {
	resp, err := d.post(ctx, "/v1/services/recall-ledger/operations/withdraw-batch", `{"id":"batch-7"}`)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	d.addRow("plain operation that may not be repeated", fmt.Sprintf("status %d, %s", resp.StatusCode, body))
	return err
}

func (d *demo) withdrawnKey(ctx context.Context) error {
	old := d.key
	presented, key := catalog.NewKey("suva-grocers-2")
	d.key = presented
	account := fmt.Sprintf("kind: account\nname: suva-grocers\nhome: suva-a\nrate: 2000\nburst: 20000\nkeys:\n  - {id: %s, sha256: %s}\n", key.ID, key.SHA256)
	if err := d.fleet.Apply(ctx, account); err != nil {
		return err
	}
	start := time.Now()
	next := d.key
	d.key = old
	for {
		resp, err := d.post(ctx, "/v1/completions", `{"model":"notice-writer","prompt":"x","max_tokens":1}`)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusUnauthorized {
			d.addRow("withdrawn key", fmt.Sprintf("status %d after %s", resp.StatusCode, time.Since(start).Round(time.Millisecond)))
			d.key = next
			return nil
		}
		if ctx.Err() != nil {
			return errors.New("the withdrawn key still works")
		}
	}
}

func (d *demo) oversizedRequest(ctx context.Context) error {
	resp, err := d.post(ctx, "/v1/completions", `{"model":"notice-writer","prompt":"x","max_tokens":100000}`)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	d.addRow("request over the service's limit", fmt.Sprintf("status %d, %s", resp.StatusCode, body))
	return err
}

func (d *demo) table() error {
	table := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "WHAT\tSEEN")
	for _, row := range d.rows {
		fmt.Fprintf(table, "%s\t%s\n", row[0], row[1])
	}
	return table.Flush()
}

func (d *demo) printCommands() {
	fmt.Fprintf(d.out, `
The fleet is running. Try:
  curl -N %[1]s/v1/completions -H 'Authorization: Bearer %[2]s' -d '{"model":"notice-writer","prompt":"hello","max_tokens":16,"stream":true}' -H 'Content-Type: application/json'
  curl %[1]s/v1/entries -H 'Authorization: Bearer %[2]s'
  basilroute status --instance %[3]s --token %[4]s
  basilroute get service notice-writer --platform %[5]s
Stop it with Ctrl-C.
`, d.url, d.key, d.admin, localfleet.OperatorToken, d.fleet.URL)
}
