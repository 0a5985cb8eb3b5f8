package link

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// Two concurrent transfers over one link take as long as a single transfer of their total size.
func TestConnectionsShareALink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, size, transfers = 100 << 10, 100 << 10, 2
		network := NewNetwork()
		sender, receiver := network.Add("a", rate), network.Add("b", 10*rate)
		began := time.Now()
		for range transfers {
			c, err := sender.Dial(t.Context(), "b")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = c.Write(make([]byte, size))
				_ = c.Close()
			}()
		}
		for range transfers {
			c, err := receiver.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, c); n != size || err != nil {
				t.Errorf("%d bytes, %v", n, err)
			}
		}
		if took, want := time.Since(began), transfers*time.Second; took < want || took > want+100*time.Millisecond {
			t.Errorf("took %v, want %v", took, want)
		}
		if sender.BytesSent() != transfers*size {
			t.Errorf("%d bytes sent", sender.BytesSent())
		}
	})
}
