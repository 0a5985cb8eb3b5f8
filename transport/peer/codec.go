package peer

import (
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

var classToProto = map[service.Class]peerpb.RequestClass{
	service.ClassInteractive: peerpb.RequestClass_REQUEST_CLASS_INTERACTIVE,
	service.ClassBulk:        peerpb.RequestClass_REQUEST_CLASS_BULK,
}

func encodeWork(w *dispatch.Work) *peerpb.ForwardRequest {
	req := &peerpb.ForwardRequest{
		RequestId: w.RequestID, Attempt: uint32(w.Attempt), Hop: uint32(w.Hop), Account: w.Account,
		KeyId: w.KeyID, HomeRegion: w.Home, Service: w.Service, Class: classToProto[w.Class],
		DeadlineMs: time.Until(w.Deadline).Milliseconds(), MaxWaitMs: w.MaxWait.Milliseconds(), Via: w.Via,
		Trial: w.Trial,
	}
	if w.Generation != nil {
		req.Work = &peerpb.ForwardRequest_Generation{Generation: &peerpb.Generation{
			Prompt: w.Generation.Prompt, MaxTokens: uint32(w.Generation.MaxTokens),
			FromSeq: w.Generation.FromSeq, Server: w.Generation.Server,
		}}
		return req
	}
	req.Work = &peerpb.ForwardRequest_Operation{Operation: &peerpb.Operation{
		Name: w.Operation.Name, Body: w.Operation.Body, IdempotencyKey: w.Operation.IdempotencyKey,
	}}
	return req
}

func decodeWork(req *peerpb.ForwardRequest) *dispatch.Work {
	w := &dispatch.Work{
		RequestID: req.GetRequestId(), Attempt: int(req.GetAttempt()), Hop: int(req.GetHop()),
		Account: req.GetAccount(), KeyID: req.GetKeyId(), Home: req.GetHomeRegion(), Service: req.GetService(),
		Class: service.ClassInteractive, Via: req.GetVia(), ConfigRevision: req.GetConfigRevision(), Trial: req.GetTrial(),
		Deadline: time.Now().Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		MaxWait:  time.Duration(req.GetMaxWaitMs()) * time.Millisecond,
	}
	if req.GetClass() == peerpb.RequestClass_REQUEST_CLASS_BULK {
		w.Class = service.ClassBulk
	}
	if g := req.GetGeneration(); g != nil {
		w.Generation = &dispatch.Generation{
			Prompt: g.GetPrompt(), MaxTokens: int(g.GetMaxTokens()), FromSeq: g.GetFromSeq(), Server: g.GetServer(),
		}
	}
	if o := req.GetOperation(); o != nil {
		w.Operation = &dispatch.Operation{Name: o.GetName(), Body: o.GetBody(), IdempotencyKey: o.GetIdempotencyKey()}
	}
	return w
}
