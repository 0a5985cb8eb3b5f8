// Package loadcast carries what the instances of a region tell each other of their
// load, in datagrams: several a second, small, and of no use when late. Whom an instance tells
// is decided by loadhub.
package loadcast

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// maxDatagram bounds what is read; what is sent stays below a link's packet size
// unless it speaks of a hundred servers.
const maxDatagram = 16 << 10

// Broadcaster sends and receives.
type Broadcaster struct {
	Self        string
	Incarnation uint64
	// LoadReport returns the own load.
	LoadReport func() placement.LoadReport
	// ApplyReport takes in the load of a source, which replaces what the source said before.
	ApplyReport func(source string, d *placement.LoadReport, now time.Time)

	conn *net.UDPConn
	seq  uint64

	mu       sync.Mutex
	exchange *loadhub.Exchange
	seen     map[string]position // by sender
}

// position is the last datagram of a sender.
type position struct{ incarnation, seq uint64 }

// New returns a caster of an instance that decides by an exchange.
func New(self string, incarnation uint64, exchange *loadhub.Exchange) *Broadcaster {
	return &Broadcaster{Self: self, Incarnation: incarnation, exchange: exchange, seen: make(map[string]position)}
}

// SetPeers takes in the other live instances of the region.
func (c *Broadcaster) SetPeers(peers []loadhub.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.SetPeers(peers)
}

// Listen binds the address.
func (c *Broadcaster) Listen(address string) error {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "load casts")
	}
	c.conn, err = net.ListenUDP("udp", addr)
	return errors.Wrap(err, "load casts")
}

// Run sends and receives until ctx ends.
func (c *Broadcaster) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() }) // ends receive
	defer stop()
	go c.receive(ctx)
	ticker := time.NewTicker(loadhub.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.round(time.Now())
	}
}

func (c *Broadcaster) round(now time.Time) {
	own := c.LoadReport()
	c.mu.Lock()
	out, heard := c.exchange.Round(own, now)
	c.mu.Unlock()
	for i := range heard {
		c.ApplyReport(heard[i].Source, &heard[i].Report, now)
	}
	for i := range out {
		c.send(&out[i])
	}
}

func (c *Broadcaster) send(e *loadhub.Envelope) {
	c.seq++
	m := encode(&e.Message)
	m.Incarnation, m.Seq = c.Incarnation, c.seq
	packet, err := proto.Marshal(m)
	if err != nil {
		return // cannot be: every field has been set here
	}
	for _, to := range e.To {
		_, _ = c.conn.WriteToUDPAddrPort(packet, to) // a lost datagram is made up for by the next
	}
}

func (c *Broadcaster) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an error of one datagram, such as a peer that does not listen
		}
		var m peerpb.LoadCast
		if err := proto.Unmarshal(buffer[:n], &m); err != nil || m.GetFrom() == c.Self {
			continue
		}
		c.hear(&m, from, time.Now())
	}
}

func (c *Broadcaster) hear(m *peerpb.LoadCast, from netip.AddrPort, now time.Time) {
	c.mu.Lock()
	if !c.newer(m) {
		c.mu.Unlock()
		return
	}
	heard, ok := c.exchange.Receive(decode(m), from, now)
	c.mu.Unlock()
	if ok {
		c.ApplyReport(heard.Source, &heard.Report, now)
	}
}

// newer tells whether a datagram comes after those of its sender seen before. The caller
// holds the lock.
func (c *Broadcaster) newer(m *peerpb.LoadCast) bool {
	last := c.seen[m.GetFrom()]
	if m.GetIncarnation() < last.incarnation || m.GetIncarnation() == last.incarnation && m.GetSeq() <= last.seq {
		return false
	}
	c.seen[m.GetFrom()] = position{m.GetIncarnation(), m.GetSeq()}
	return true
}
