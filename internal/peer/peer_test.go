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

// messageRecorder records the messages that a transport receives, each after the digit of its sender.
type messageRecorder struct {
	mu       sync.Mutex
	messages []string
}

func (r *messageRecorder) QueueMessage(from int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, string(rune('0'+from))+string(data))
}

func (r *messageRecorder) count() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.messages) }

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within 20 s")
		}
	}
}

// One transport sends to another through an eavesdropper. Foreign, altered and replayed datagrams are dropped and counted.
func TestSealedTransport(t *testing.T) {
	tap, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // the address of instance 1, as instance 0 knows it
	if err != nil {
		t.Fatal(err)
	}
	defer tap.Close()
	key := bytes.Repeat([]byte{7}, 32)
	open := func(self int, addrs ...string) (*Transport, *messageRecorder) {
		cfg := &config.Config{Self: self, PeerKey: key}
		for i, addr := range addrs {
			cfg.Instances = append(cfg.Instances, config.Instance{Number: i, PeerAddress: addr})
		}
		messages := &messageRecorder{}
		transport, err := OpenSealed(cfg, messages, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var work sync.WaitGroup
		work.Add(1)
		go func() { defer work.Done(); transport.Run(ctx) }()
		t.Cleanup(func() { cancel(); work.Wait() })
		return transport, messages
	}
	sender, _ := open(0, "127.0.0.1:0", tap.LocalAddr().String())
	receiver, got := open(1, "127.0.0.1:1", "127.0.0.1:0")
	to := receiver.conn.LocalAddr().(*net.UDPAddr)
	sender.SendToPeer(1, []byte("hello"))
	sender.SendToPeer(7, []byte("nobody"))
	sender.SendToPeer(1, make([]byte, MaxMessage+1))
	buf := make([]byte, maxDatagram)
	_ = tap.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, _, err := tap.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	for _, datagram := range [][]byte{buf[:n], buf[:n], []byte("stranger"), append([]byte{buf[0], buf[1] ^ 1}, buf[2:n]...)} {
		if _, err := tap.WriteToUDP(datagram, to); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, func() bool { c := receiver.Counts(); return c.Received+c.Replayed+c.Foreign == 4 })
	if c := receiver.Counts(); got.count() != 1 || got.messages[0] != "0hello" || c.Replayed != 1 || c.Foreign != 2 {
		t.Errorf("received %v, counts %+v", got.messages, c)
	}
	if c := sender.Counts(); c.Unsent != 2 {
		t.Errorf("%d unsent, want 2: an unknown receiver and a message that is too long", c.Unsent)
	}
}

// Plain messages are accepted only from the addresses of the other instances and up to the maximum size.
func TestPlainTransport(t *testing.T) {
	socket := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	other, third, broadcast, stranger, mine := socket(), socket(), socket(), socket(), socket()
	self := mine.LocalAddr().String()
	mine.Close()
	got := &messageRecorder{}
	peers := []string{other.LocalAddr().String(), self, third.LocalAddr().String()}
	transport, err := OpenPlain(self, peers, broadcast.LocalAddr().String(), 1, got, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); transport.Run(ctx) }()
	defer func() { cancel(); work.Wait() }()
	to := transport.conn.LocalAddr().(*net.UDPAddr)
	for _, message := range []struct {
		from *net.UDPConn
		size int
	}{{stranger, 5}, {other, MaxPlainMessage + 1}, {other, MaxPlainMessage}, {third, 0}, {third, 1}} {
		if _, err := message.from.WriteToUDP(bytes.Repeat([]byte{'m'}, message.size), to); err != nil {
			t.Fatal(err)
		}
	}
	transport.SendToPeer(1, []byte("echo")) // to itself
	waitFor(t, func() bool { c := transport.Counts(); return c.Received == 3 && c.Foreign == 2 && c.Misdirected == 1 })
	got.mu.Lock()
	if len(got.messages) != 3 || got.messages[0] != "0"+string(bytes.Repeat([]byte{'m'}, MaxPlainMessage)) || got.messages[1] != "2" || got.messages[2] != "2m" {
		t.Errorf("received %d messages: %.20q", len(got.messages), got.messages)
	}
	got.mu.Unlock()
	expect := func(conn *net.UDPConn, want string) {
		t.Helper()
		buf := make([]byte, 1000)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, from, err := conn.ReadFromUDP(buf); err != nil || string(buf[:n]) != want || from.String() != self {
			t.Errorf("got %q from %v, %v, want %q", buf[:n], from, err, want)
		}
	}
	transport.SendToPeer(2, []byte("two"))
	expect(third, "two")
	transport.SendToPeer(policy.Broadcast, []byte("all"))
	expect(broadcast, "all")
	transport.SendToPeer(0, bytes.Repeat([]byte{'m'}, MaxPlainMessage+1))
	waitFor(t, func() bool { return transport.Counts().Unsent == 1 })
	for _, bad := range [][2]string{{"x", ""}, {self, "x"}} {
		if _, err := OpenPlain(bad[0], peers, bad[1], 1, got, zerolog.Nop()); err == nil {
			t.Errorf("the addresses %q are accepted", bad)
		}
	}
}
