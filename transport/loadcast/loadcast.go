// Package loadcast carries the load reports between the instances of a region in
// datagrams: they are sent several times a second, are small, and are useless when late.
// Package loadhub decides to which peers an instance sends.
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

// otherMarker is the first byte of datagrams that hold no load report. No message begins with it, so that an
// instance that does not know such datagrams drops them.
const otherMarker = 0

// maxDatagram bounds the size of a received datagram. Sent datagrams stay below the MTU of
// a link unless they contain about a hundred servers.
const maxDatagram = 16 << 10

// Broadcaster sends and receives load reports.
type Broadcaster struct {
	Self        string
	Incarnation uint64
	// LoadReport returns the load report of the local instance.
	LoadReport func() placement.LoadReport
	// HasPlaced reports whether the local instance has placed requests since its last report.
	HasPlaced func() bool
	// ApplyReport applies the load report of a source. It replaces the source's previous
	// report, or changes it if it is partial.
	ApplyReport func(source string, d *placement.LoadReport, now time.Time)
	// ReceiveOther receives the datagrams that other instances sent with SendOther; nil to drop them.
	ReceiveOther func(packet []byte, from netip.AddrPort, now time.Time)

	conn *net.UDPConn
	seq  uint64

	mu       sync.Mutex
	exchange *loadhub.Exchange
	lastSeen map[string]position // by sender
}

// position identifies the last datagram of a sender.
type position struct{ incarnation, seq uint64 }

// New returns a broadcaster for an instance that uses the exchange to choose its
// recipients.
func New(self string, incarnation uint64, exchange *loadhub.Exchange) *Broadcaster {
	return &Broadcaster{Self: self, Incarnation: incarnation, exchange: exchange, lastSeen: make(map[string]position)}
}

// SetPeers sets the other live instances of the region.
func (c *Broadcaster) SetPeers(peers []loadhub.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.SetPeers(peers)
}

// Listen binds the address.
func (c *Broadcaster) Listen(address string) error {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "listen for load reports")
	}
	c.conn, err = net.ListenUDP("udp", addr)
	return errors.Wrap(err, "listen for load reports")
}

// Run sends and receives until ctx ends.
func (c *Broadcaster) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() }) // unblocks receive
	defer stop()
	go c.receive(ctx)
	ticker := time.NewTicker(loadhub.RelayInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		c.tick(time.Now())
	}
}

// tick sends what is due, and applies the sums if this instance is a hub.
func (c *Broadcaster) tick(now time.Time) {
	out, updates := c.dueMessages(now)
	for i := range updates {
		c.ApplyReport(updates[i].Source, &updates[i].Report, now)
	}
	for i := range out {
		c.send(&out[i])
	}
}

func (c *Broadcaster) dueMessages(now time.Time) ([]loadhub.Envelope, []loadhub.Update) {
	placed := c.HasPlaced()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.exchange.ReportDue(placed) {
		return c.exchange.Relay(now)
	}
	return c.exchange.Round(c.LoadReport(), now)
}

func (c *Broadcaster) send(e *loadhub.Envelope) {
	c.seq++
	m := encode(&e.Message)
	m.Incarnation, m.Seq = c.Incarnation, c.seq
	packet, err := proto.Marshal(m)
	if err != nil {
		return // cannot happen: every field is set above
	}
	for _, to := range e.To {
		_, _ = c.conn.WriteToUDPAddrPort(packet, to) // the next datagram replaces a lost one
	}
}

// SendOther sends a datagram that holds no load report.
func (c *Broadcaster) SendOther(packet []byte, to netip.AddrPort) {
	if c.conn == nil {
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(append([]byte{otherMarker}, packet...), to) // its sender expects losses
}

func (c *Broadcaster) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an error of one datagram, such as a peer whose port is closed
		}
		if n > 0 && buffer[0] == otherMarker {
			if c.ReceiveOther != nil {
				c.ReceiveOther(buffer[1:n], from, time.Now())
			}
			continue
		}
		var m peerpb.LoadCast
		if err := proto.Unmarshal(buffer[:n], &m); err != nil || m.GetFrom() == c.Self {
			continue
		}
		c.handle(&m, from, time.Now())
	}
}

func (c *Broadcaster) handle(m *peerpb.LoadCast, from netip.AddrPort, now time.Time) {
	c.mu.Lock()
	if !c.isNewer(m) {
		c.mu.Unlock()
		return
	}
	update, ok := c.exchange.Receive(decode(m), from, now)
	c.mu.Unlock()
	if ok {
		c.ApplyReport(update.Source, &update.Report, now)
	}
}

// isNewer reports whether a datagram is newer than all earlier ones of its sender, and
// records it if so. The caller holds the lock.
func (c *Broadcaster) isNewer(m *peerpb.LoadCast) bool {
	last := c.lastSeen[m.GetFrom()]
	if m.GetIncarnation() < last.incarnation || m.GetIncarnation() == last.incarnation && m.GetSeq() <= last.seq {
		return false
	}
	c.lastSeen[m.GetFrom()] = position{m.GetIncarnation(), m.GetSeq()}
	return true
}
