package catalog

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
)

var accountSizes = []int{1000, 2000, 4000, 8000}

// accountDocument returns the document of a client account with two keys, and the first
// key in the form that a caller presents.
func accountDocument(n int) (text, presented string) {
	presented, first := NewKey(fmt.Sprintf("account-%d-1", n))
	_, second := NewKey(fmt.Sprintf("account-%d-2", n))
	return fmt.Sprintf("kind: account\nname: account-%d\nhome: suva-a\nrate: 1000\nburst: 10000\nkeys:\n"+
		"  - id: %s\n    sha256: %s\n  - id: %s\n    sha256: %s\n", n, first.ID, first.SHA256, second.ID, second.SHA256), presented
}

func parse(b *testing.B, text string) *service.Document {
	b.Helper()
	d, err := service.Parse("", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	return d
}

func bySize(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range accountSizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// heap returns the bytes of live heap objects.
func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkSizeAccountMemory measures the memory that accounts in force use, with two
// keys each.
func BenchmarkSizeAccountMemory(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		for b.Loop() {
			before := heap()
			c := New()
			for i := range n {
				text, _ := accountDocument(i)
				c.Put(parse(b, text))
			}
			b.ReportMetric(heap()-before, "heap-B")
			runtime.KeepAlive(c)
		}
	})
}

// BenchmarkSizeKeyCheck measures the check of a caller's key.
func BenchmarkSizeKeyCheck(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		c, keys := New(), make([]string, n)
		for i := range n {
			text, presented := accountDocument(i)
			keys[i] = presented
			c.Put(parse(b, text))
		}
		i := 0
		for b.Loop() {
			if _, _, state := c.CheckKey(keys[i%n]); state != KeyValid {
				b.Fatal("a valid key was rejected")
			}
			i++
		}
	})
}

// BenchmarkSizeSnapshot measures how a new instance decodes, checks and puts in force the
// documents of all accounts that a peer sends.
func BenchmarkSizeSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, n int) {
		response := &peerpb.ExchangeResponse{}
		for i := range n {
			text, _ := accountDocument(i)
			response.Documents = append(response.Documents, &peerpb.Document{
				Key: service.StoreKey(service.KindAccount, fmt.Sprintf("account-%d", i)), Revision: int64(i), Value: []byte(text),
			})
		}
		encoded, err := proto.Marshal(response)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			takeSnapshot(b, encoded)
		}
		b.ReportMetric(float64(len(encoded)), "wire-B")
	})
}

func takeSnapshot(b *testing.B, encoded []byte) {
	var got peerpb.ExchangeResponse
	if err := proto.Unmarshal(encoded, &got); err != nil {
		b.Fatal(err)
	}
	c := New()
	for _, d := range got.Documents {
		c.Put(parse(b, string(d.Value)))
	}
}
