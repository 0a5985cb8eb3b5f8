package loadgen

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of a run.
type Report struct {
	Seed     int64         `json:"seed"`
	Elapsed  time.Duration `json:"took_ns"`
	Warmup   int64         `json:"warmup_requests"` // sent but not measured
	Arms     []Row         `json:"arms"`
	Classes  []Row         `json:"classes"`
	Accounts []AccountRow  `json:"accounts"`
	Codes    []CodeCount   `json:"codes"`
}

// Row sums up the requests of one arm or class.
type Row struct {
	Name         string    `json:"name"`
	Sent         int64     `json:"sent"`
	Done         int64     `json:"done"`
	Refused      int64     `json:"refused"`
	Failed       int64     `json:"bad"` // neither a complete response nor a refusal
	Retries      int64     `json:"retries"`
	Tokens       int64     `json:"tokens"`
	FirstToken   Quantiles `json:"first_token_us"`
	Gap          Quantiles `json:"token_gap_us"`
	ResponseTime Quantiles `json:"whole_us"`
}

// Quantiles holds quantiles of durations in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// AccountRow sums up the requests and tokens of one account.
type AccountRow struct {
	Row
	OfferedTokens     float64 `json:"offered_tokens"` // upper bound, prompt and output
	DueTokens         float64 `json:"due_tokens"`     // offered tokens that rate and burst allow until the last planned start; 0 if the rate is not known
	AllowedTokens     float64 `json:"allowed_tokens"` // tokens that rate and burst allow until the last response, since requests may wait for tokens
	ServedTokens      float64 `json:"served_tokens"`
	ServedFraction    float64 `json:"served_part"` // served tokens as a fraction of the due tokens
	RefusedWithinRate int64   `json:"refused_within_rate"`
}

// CodeCount counts the requests of one outcome.
type CodeCount struct {
	Status int    `json:"status"`
	Code   string `json:"code"`
	Run    string `json:"run,omitempty"`
	Detail string `json:"detail,omitempty"`
	Count  int64  `json:"count"`
}

func compareCodes(a, b CodeCount) int {
	return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(a.Code, b.Code),
		cmp.Compare(a.Run, b.Run), cmp.Compare(a.Detail, b.Detail))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(), Max: h.Max(),
		P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
	}
}

func row(name string, s *outcomeStats) Row {
	return Row{
		Name: name, Sent: s.sent, Done: s.done, Refused: s.refused, Failed: s.failed, Retries: s.retries, Tokens: s.tokens,
		FirstToken: quantiles(s.firstToken), Gap: quantiles(s.gap), ResponseTime: quantiles(s.responseTime),
	}
}

func rows(group map[string]*outcomeStats) []Row {
	var out []Row
	for name, s := range group {
		out = append(out, row(name, s))
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func accountRow(m *Mix, a *Account, s *outcomeStats, charges []charge, took time.Duration) AccountRow {
	out := AccountRow{Row: row(a.Name, s), OfferedTokens: s.offeredTokens}
	for _, c := range charges {
		if c.at >= m.Warmup {
			out.ServedTokens += c.usedTokens
		}
	}
	if a.Rate > 0 {
		measured := (m.Duration - m.Warmup).Seconds()
		out.DueTokens = min(out.OfferedTokens, a.Rate*measured+a.Burst)
		out.AllowedTokens = a.Rate*(took-m.Warmup).Seconds() + a.Burst
		out.RefusedWithinRate = countRefusedWithinRate(a.Rate, a.Burst, m.Warmup, charges)
	}
	if out.DueTokens > 0 {
		out.ServedFraction = out.ServedTokens / out.DueTokens
	}
	return out
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "seed %d, %s, %d requests of the warm-up not counted\n\n", r.Seed, r.Elapsed.Round(time.Millisecond), r.Warmup)
	writeRows(table, "ARM", r.Arms)
	writeRows(table, "CLASS", r.Classes)
	fmt.Fprintln(table, "ACCOUNT\tSENT\tDONE\tREFUSED\tWITHIN RATE\tBAD\tOFFERED\tSERVED\tDUE\tSERVED/DUE\tALLOWED\tFIRST p99")
	for _, a := range r.Accounts {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%d\t%.0f\t%.0f\t%s\t%s\t%s\t%s\n", a.Name, a.Sent, a.Done, a.Refused,
			formatIfRateKnown(a.DueTokens, "%.0f", float64(a.RefusedWithinRate)), a.Failed, a.OfferedTokens, a.ServedTokens,
			formatIfRateKnown(a.DueTokens, "%.0f", a.DueTokens), formatIfRateKnown(a.DueTokens, "%.3f", a.ServedFraction), formatIfRateKnown(a.DueTokens, "%.0f", a.AllowedTokens), micros(a.FirstToken.P99))
	}
	fmt.Fprintln(table, "\nSTATUS\tCODE\tRUN\tREASON\tCOUNT")
	for _, c := range r.Codes {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\n", c.Status, c.Code, c.Run, c.Detail, c.Count)
	}
	return table.Flush()
}

func writeRows(w io.Writer, head string, list []Row) {
	fmt.Fprintf(w, "%s\tSENT\tDONE\tREFUSED\tBAD\tRETRIES\tTOKENS\tFIRST p50\tp95\tp99\tGAP p50\tp95\tp99\tWHOLE p50\tp99\n", head)
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			s.Name, s.Sent, s.Done, s.Refused, s.Failed, s.Retries, s.Tokens,
			micros(s.FirstToken.P50), micros(s.FirstToken.P95), micros(s.FirstToken.P99),
			micros(s.Gap.P50), micros(s.Gap.P95), micros(s.Gap.P99), micros(s.ResponseTime.P50), micros(s.ResponseTime.P99))
	}
	fmt.Fprintln(w)
}

func micros(n int64) string {
	return (time.Duration(n) * time.Microsecond).Round(10 * time.Microsecond).String()
}

// formatIfRateKnown formats a figure that depends on the account's rate, or returns "-"
// if the rate is not known.
func formatIfRateKnown(due float64, format string, v float64) string {
	if due == 0 {
		return "-"
	}
	return fmt.Sprintf(format, v)
}
