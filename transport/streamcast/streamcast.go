// Package streamcast carries the records of streams' builds between instances, and the questions about
// them, in datagrams: a record that is lost has other keepers, and a question is asked twice. Package streambuild
// decides what is sent to whom.
package streamcast

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	// recordsPerDatagram keeps a datagram below the MTU of a link.
	recordsPerDatagram = 32
	// repeatAfter is how long an unanswered question waits before it is asked once more.
	repeatAfter = 60 * time.Millisecond
)

// Exchange sends and receives datagrams about streams' builds. It is safe for concurrent use.
type Exchange struct {
	// Send sends a datagram. A lost one is not reported.
	Send func(packet []byte, to netip.AddrPort)
	// Keep keeps a record that another instance sent.
	Keep func(record streambuild.Record, now time.Time)
	// Answer returns what this instance knows of a stream of a service.
	Answer func(stream streambuild.StreamID, service string, now time.Time) streambuild.Answer

	mu         sync.Mutex
	lastNumber uint64
	questions  map[uint64]*question // by number
}

// question is a question that waits for answers.
type question struct {
	asked   map[netip.AddrPort]bool // and whether it has answered
	answers chan streambuild.Answer
}

// Report sends records to their keepers.
func (e *Exchange) Report(records []streambuild.Record, keepers func(streambuild.StreamID) []streambuild.Member) {
	byKeeper := make(map[netip.AddrPort][]*peerpb.StreamRecord)
	for _, r := range records {
		for _, keeper := range keepers(r.Stream) {
			byKeeper[keeper.Address] = append(byKeeper[keeper.Address], encodeRecord(r))
		}
	}
	for to, all := range byKeeper {
		for len(all) > 0 {
			n := min(len(all), recordsPerDatagram)
			e.send(&peerpb.StreamCast{Records: all[:n]}, to)
			all = all[n:]
		}
	}
}

// Ask asks members about a stream. The channel delivers their answers, each member's once, and has room for all of them.
// The question ends with the context.
func (e *Exchange) Ask(ctx context.Context, stream streambuild.StreamID, service string, members []streambuild.Member) <-chan streambuild.Answer {
	q := &question{asked: make(map[netip.AddrPort]bool, len(members)), answers: make(chan streambuild.Answer, len(members))}
	for _, m := range members {
		q.asked[m.Address] = false
	}
	e.mu.Lock()
	if e.questions == nil {
		e.questions = make(map[uint64]*question)
	}
	e.lastNumber++
	number := e.lastNumber
	e.questions[number] = q
	e.mu.Unlock()
	message := &peerpb.StreamCast{Query: &peerpb.StreamQuery{Number: number, Stream: uint64(stream), Service: service}}
	e.askUnanswered(q, message)
	repeat := time.AfterFunc(repeatAfter, func() { e.askUnanswered(q, message) })
	context.AfterFunc(ctx, func() {
		repeat.Stop()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.questions, number)
	})
	return q.answers
}

func (e *Exchange) askUnanswered(q *question, message *peerpb.StreamCast) {
	e.mu.Lock()
	var waiting []netip.AddrPort
	for to, answered := range q.asked {
		if !answered {
			waiting = append(waiting, to)
		}
	}
	e.mu.Unlock()
	for _, to := range waiting {
		e.send(message, to)
	}
}

func (e *Exchange) send(m *peerpb.StreamCast, to netip.AddrPort) {
	packet, err := proto.Marshal(m)
	if err != nil {
		return // cannot happen: every field is set above
	}
	e.Send(packet, to)
}

// Receive handles a datagram.
func (e *Exchange) Receive(packet []byte, from netip.AddrPort, now time.Time) {
	var m peerpb.StreamCast
	if err := proto.Unmarshal(packet, &m); err != nil {
		return // not from an instance
	}
	for _, r := range m.GetRecords() {
		e.Keep(decodeRecord(r), now)
	}
	if q := m.GetQuery(); q != nil {
		answer := e.Answer(streambuild.StreamID(q.GetStream()), q.GetService(), now)
		e.send(&peerpb.StreamCast{Answer: encodeAnswer(q, answer)}, from)
	}
	if a := m.GetAnswer(); a != nil {
		e.deliver(a, from)
	}
}

// deliver hands an answer to the one that asked.
func (e *Exchange) deliver(a *peerpb.StreamAnswer, from netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := e.questions[a.GetNumber()]
	if q == nil {
		return
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if answered, asked := q.asked[from]; !asked || answered {
		return
	}
	q.asked[from] = true
	answer := decodeAnswer(a)
	answer.From = from
	q.answers <- answer
}

func encodeRecord(r streambuild.Record) *peerpb.StreamRecord {
	return &peerpb.StreamRecord{Stream: uint64(r.Stream), Service: r.Origin.Service, Build: r.Origin.Build}
}

func decodeRecord(r *peerpb.StreamRecord) streambuild.Record {
	return streambuild.Record{
		Stream: streambuild.StreamID(r.GetStream()), Origin: streambuild.Origin{Service: r.GetService(), Build: r.GetBuild()},
	}
}

func encodeAnswer(q *peerpb.StreamQuery, a streambuild.Answer) *peerpb.StreamAnswer {
	out := &peerpb.StreamAnswer{
		Number: q.GetNumber(), Builds: uint32(a.Builds.Count), Build: a.Builds.One, Covered: a.Builds.Covered,
		Current: a.Current,
	}
	if a.Known {
		out.Record = encodeRecord(streambuild.Record{Stream: streambuild.StreamID(q.GetStream()), Origin: a.Origin})
	}
	return out
}

func decodeAnswer(a *peerpb.StreamAnswer) streambuild.Answer {
	out := streambuild.Answer{
		Builds:  streambuild.Builds{Count: int(a.GetBuilds()), One: a.GetBuild(), Covered: a.GetCovered()},
		Current: a.GetCurrent(),
	}
	if r := a.GetRecord(); r != nil {
		out.Known, out.Origin = true, decodeRecord(r).Origin
	}
	return out
}
