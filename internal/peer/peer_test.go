package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cometpond/internal/config"
	"cometpond/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// heard keeps the messages of a link.
type heard struct {
	mu   sync.Mutex
	list []string
}

func (h *heard) QueueMessage(from int, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, string(rune('0'+from))+string(data))
}

func (h *heard) count() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.list) }

func wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about in 20 s")
		}
	}
}

// Two links talk; what a stranger sends, and what a wiretapper sends again, is dropped and counted.
func TestLink(t *testing.T) {
	tap, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // stands where instance 1 is for 0
	if err != nil {
		t.Fatal(err)
	}
	defer tap.Close()
	key := bytes.Repeat([]byte{7}, 32)
	open := func(me int, addrs ...string) (*Transport, *heard) {
		c := &config.Config{Self: me, PeerKey: key}
		for i, a := range addrs {
			c.Instances = append(c.Instances, config.Instance{Number: i, PeerAddress: a})
		}
		h := &heard{}
		l, err := OpenSealed(c, h, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var work sync.WaitGroup
		work.Add(1)
		go func() { defer work.Done(); l.Run(ctx) }()
		t.Cleanup(func() { cancel(); work.Wait() })
		return l, h
	}
	a, _ := open(0, "127.0.0.1:0", tap.LocalAddr().String())
	b, got := open(1, "127.0.0.1:1", "127.0.0.1:0")
	to := b.conn.LocalAddr().(*net.UDPAddr)
	a.SendToPeer(1, []byte("hello"))
	a.SendToPeer(7, []byte("nobody"))
	a.SendToPeer(1, make([]byte, MaxMessage+1))
	buf := make([]byte, maxPacket)
	_ = tap.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, _, err := tap.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range [][]byte{buf[:n], buf[:n], []byte("stranger"), append([]byte{buf[0], buf[1] ^ 1}, buf[2:n]...)} {
		if _, err := tap.WriteToUDP(d, to); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, func() bool { c := b.Counts(); return c.Received+c.Replayed+c.Foreign == 4 })
	if c := b.Counts(); got.count() != 1 || got.list[0] != "0hello" || c.Replayed != 1 || c.Foreign != 2 {
		t.Errorf("heard %v, %+v", got.list, c)
	}
	if c := a.Counts(); c.Unsent != 2 {
		t.Errorf("%d unsent, want the two that can't be sent", c.Unsent)
	}
}

// Messages that are not sealed are believed from the addresses of the others alone, up to their size.
func TestPlain(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	other, third, all, stranger, mine := socket(), socket(), socket(), socket(), socket()
	me := mine.LocalAddr().String()
	mine.Close()
	h := &heard{}
	peers := []string{other.LocalAddr().String(), me, third.LocalAddr().String()}
	l, err := OpenPlain(me, peers, all.LocalAddr().String(), 1, h, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); l.Run(ctx) }()
	defer func() { cancel(); work.Wait() }()
	to := l.conn.LocalAddr().(*net.UDPAddr)
	for _, m := range []struct {
		from *net.UDPConn
		size int
	}{{stranger, 5}, {other, MaxPlain + 1}, {other, MaxPlain}, {third, 0}, {third, 1}} {
		if _, err := m.from.WriteToUDP(bytes.Repeat([]byte{'m'}, m.size), to); err != nil {
			t.Fatal(err)
		}
	}
	l.SendToPeer(1, []byte("echo")) // to itself
	wait(t, func() bool { c := l.Counts(); return c.Received == 3 && c.Foreign == 2 && c.Misdirected == 1 })
	h.mu.Lock()
	if len(h.list) != 3 || h.list[0] != "0"+string(bytes.Repeat([]byte{'m'}, MaxPlain)) || h.list[1] != "2" || h.list[2] != "2m" {
		t.Errorf("heard %d messages: %.20q", len(h.list), h.list)
	}
	h.mu.Unlock()
	expect := func(c *net.UDPConn, want string) {
		t.Helper()
		buf := make([]byte, 1000)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, from, err := c.ReadFromUDP(buf); err != nil || string(buf[:n]) != want || from.String() != me {
			t.Errorf("got %q from %v, %v, want %q", buf[:n], from, err, want)
		}
	}
	l.SendToPeer(2, []byte("two"))
	expect(third, "two")
	l.SendToPeer(policy.Broadcast, []byte("all"))
	expect(all, "all")
	l.SendToPeer(0, bytes.Repeat([]byte{'m'}, MaxPlain+1))
	wait(t, func() bool { return l.Counts().Unsent == 1 })
	for _, bad := range [][2]string{{"x", ""}, {me, "x"}} {
		if _, err := OpenPlain(bad[0], peers, bad[1], 1, h, zerolog.Nop()); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}
