package peer

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
)

// BenchmarkSizeBorrow reports the bytes of a Borrow call and its response by the number of
// accounts in it. Each account requests tokens and reports on its previous loan. The headers
// that gRPC adds to each call are not counted.
func BenchmarkSizeBorrow(b *testing.B) {
	from := slots.Member{ID: "suva-a-1-entry-17", Incarnation: 1764720000000000000}
	for _, n := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			call, lent := &quota.Call{Lender: from}, make([]quota.LoanGrant, n)
			for i := range n {
				account := fmt.Sprintf("account-%05d", i)
				call.Requests = append(call.Requests, quota.LoanRequest{Account: account, Tokens: 1500})
				call.Reports = append(call.Reports, quota.LoanReport{Account: account, LoanID: uint64(100000 + i), Spent: 900, Refunded: 300})
				lent[i] = quota.LoanGrant{Account: account, Tokens: 1500, LoanID: uint64(100000 + i)}
			}
			size := 0
			for b.Loop() {
				req, resp := EncodeBorrow(from, call), EncodeGrants(from, lent)
				size = proto.Size(req) + proto.Size(resp)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}
