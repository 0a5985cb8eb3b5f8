package peer

import (
	"context"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// Quota handles the calls of peers about loans and slots.
type Quota interface {
	Borrow(req *peerpb.BorrowRequest) *peerpb.BorrowResponse
	Promise(req *peerpb.PromiseRequest) *peerpb.PromiseResponse
	Consent(req *peerpb.ConsentRequest) *peerpb.ConsentResponse
}

// Borrow implements peerpb.PeerServer.
func (s *Server) Borrow(_ context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	return s.Quota.Borrow(req), nil
}

// Promise implements peerpb.PeerServer.
func (s *Server) Promise(_ context.Context, req *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error) {
	return s.Quota.Promise(req), nil
}

// Consent implements peerpb.PeerServer.
func (s *Server) Consent(_ context.Context, req *peerpb.ConsentRequest) (*peerpb.ConsentResponse, error) {
	return s.Quota.Consent(req), nil
}

// EncodeBorrow returns the message of a call to a lender.
func EncodeBorrow(from slots.Member, c *quota.Call) *peerpb.BorrowRequest {
	req := &peerpb.BorrowRequest{From: from.ID, Incarnation: from.Incarnation, LenderIncarnation: c.Lender.Incarnation}
	for _, w := range c.Requests {
		req.Wants = append(req.Wants, &peerpb.AccountTokens{Account: w.Account, Tokens: int64(w.Tokens)})
	}
	for _, r := range c.Reports {
		req.Spent = append(req.Spent, &peerpb.AccountTokens{
			Account: r.Account, Loan: r.LoanID, Tokens: int64(r.Spent), Returned: int64(r.Returned), Refunded: int64(r.Refunded),
		})
	}
	return req
}

// DecodeBorrow returns the loan requests and loan reports of a borrower. Reports for another
// incarnation of the lender are left out, since its loans no longer exist.
func DecodeBorrow(self slots.Member, req *peerpb.BorrowRequest) ([]quota.LoanRequest, []quota.LoanReport) {
	var wants []quota.LoanRequest
	for _, w := range req.GetWants() {
		wants = append(wants, quota.LoanRequest{Account: w.GetAccount(), Tokens: float64(w.GetTokens())})
	}
	if req.GetLenderIncarnation() != self.Incarnation {
		return wants, nil
	}
	var reports []quota.LoanReport
	for _, r := range req.GetSpent() {
		reports = append(reports, quota.LoanReport{
			Account: r.GetAccount(), LoanID: r.GetLoan(), Spent: float64(max(0, r.GetTokens())),
			Returned: float64(max(0, r.GetReturned())), Refunded: float64(max(0, r.GetRefunded())),
		})
	}
	return wants, reports
}

// EncodeGrants returns a lender's response, without empty grants.
func EncodeGrants(self slots.Member, lent []quota.LoanGrant) *peerpb.BorrowResponse {
	resp := &peerpb.BorrowResponse{Incarnation: self.Incarnation, ValidMs: quota.LoanValidity.Milliseconds()}
	for _, item := range lent {
		if item.Tokens > 0 {
			resp.Lent = append(resp.Lent, &peerpb.AccountTokens{Account: item.Account, Tokens: int64(item.Tokens), Loan: item.LoanID})
		}
	}
	return resp
}

// DecodeGrants returns the grants of a lender's response, never nil for a valid one. It
// returns nil if the lender has restarted since the call was planned, or if its loans are
// valid for less than quota.LoanValidity: the response then grants nothing.
func DecodeGrants(c *quota.Call, resp *peerpb.BorrowResponse) []quota.LoanGrant {
	if resp.GetIncarnation() != c.Lender.Incarnation || resp.GetValidMs() < quota.LoanValidity.Milliseconds() {
		return nil
	}
	lent := make([]quota.LoanGrant, 0, len(resp.GetLent()))
	for _, item := range resp.GetLent() {
		lent = append(lent, quota.LoanGrant{Account: item.GetAccount(), Tokens: float64(item.GetTokens()), LoanID: item.GetLoan()})
	}
	return lent
}
