// Package loadcast carries what the instances of a region tell each other of their
// load, in datagrams: several a second to each, small, and of no use when late.
package loadcast

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	// Every is the time between datagrams while something is under way: shorter than
	// it takes an engine to read one prompt of ordinary size.
	Every = 60 * time.Millisecond
	// maxDatagram bounds what is read; what is sent stays below a link's packet size
	// unless an instance has work at a hundred servers.
	maxDatagram = 8 << 10
)

// Caster sends and receives.
type Caster struct {
	Self        string
	Incarnation uint64
	// Peers returns the addresses of the other live instances of the region.
	Peers func() []netip.AddrPort
	// Digest returns what the others are to know.
	Digest func() placement.Digest
	// Absorb takes in another instance's word.
	Absorb func(from string, d *placement.Digest, now time.Time)

	conn *net.UDPConn
	seq  uint64

	mu   sync.Mutex
	seen map[string]position // by sender
}

// position is the last datagram of a sender.
type position struct{ incarnation, seq uint64 }

// Listen binds the address.
func (c *Caster) Listen(address string) error {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "load casts")
	}
	c.conn, err = net.ListenUDP("udp", addr)
	return errors.Wrap(err, "load casts")
}

// Run sends and receives until ctx ends.
func (c *Caster) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() }) // ends receive
	defer stop()
	go c.receive(ctx)
	ticker := time.NewTicker(Every)
	defer ticker.Stop()
	busy := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		d := c.Digest()
		now := len(d.Servers) > 0 || len(d.Dispatches) > 0
		if now || busy { // the last one says that nothing is left
			c.send(&d)
		}
		busy = now
	}
}

func (c *Caster) send(d *placement.Digest) {
	peers := c.Peers()
	if len(peers) == 0 {
		return
	}
	c.seq++
	m := &peerpb.LoadCast{From: c.Self, Incarnation: c.Incarnation, Seq: c.seq}
	for _, s := range d.Servers {
		m.Servers = append(m.Servers, &peerpb.ServerLoadCast{
			Server: s.Server, Pending: uint32(s.Pending), Urgent: uint32(s.Urgent), InFlight: uint32(s.InFlight),
			Served: uint32(s.Served), Failed: uint32(s.Failed), Down: s.Down,
		})
	}
	for _, sent := range d.Dispatches {
		cast := &peerpb.DispatchCast{Server: sent.Server}
		for _, part := range sent.Parts {
			cast.Parts = append(cast.Parts, part.ID)
			cast.Tokens = append(cast.Tokens, uint32(part.Tokens))
		}
		m.Dispatches = append(m.Dispatches, cast)
	}
	packet, err := proto.Marshal(m)
	if err != nil {
		return // cannot be: every field has been set here
	}
	for _, peer := range peers {
		_, _ = c.conn.WriteToUDPAddrPort(packet, peer) // a lost datagram is made up for by the next
	}
}

func (c *Caster) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an error of one datagram, such as a peer that does not listen
		}
		var m peerpb.LoadCast
		if err := proto.Unmarshal(buffer[:n], &m); err != nil || m.GetFrom() == c.Self || !c.newer(&m) {
			continue
		}
		c.Absorb(m.GetFrom(), digestOf(&m), time.Now())
	}
}

// newer tells whether a datagram comes after those of its sender seen before.
func (c *Caster) newer(m *peerpb.LoadCast) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = make(map[string]position)
	}
	last := c.seen[m.GetFrom()]
	if m.GetIncarnation() < last.incarnation || m.GetIncarnation() == last.incarnation && m.GetSeq() <= last.seq {
		return false
	}
	c.seen[m.GetFrom()] = position{m.GetIncarnation(), m.GetSeq()}
	return true
}

func digestOf(m *peerpb.LoadCast) *placement.Digest {
	d := &placement.Digest{}
	for _, s := range m.GetServers() {
		d.Servers = append(d.Servers, placement.ServerLoad{
			Server: s.GetServer(), Pending: int(s.GetPending()), Urgent: int(s.GetUrgent()), InFlight: int(s.GetInFlight()),
			Served: int(s.GetServed()), Failed: int(s.GetFailed()), Down: s.GetDown(),
		})
	}
	for _, sent := range m.GetDispatches() {
		dispatch := placement.Dispatch{Server: sent.GetServer()}
		for i, id := range sent.GetParts() {
			if i < len(sent.GetTokens()) {
				dispatch.Parts = append(dispatch.Parts, placement.Part{ID: id, Tokens: int(sent.GetTokens()[i])})
			}
		}
		d.Dispatches = append(d.Dispatches, dispatch)
	}
	return d
}
