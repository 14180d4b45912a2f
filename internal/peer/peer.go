package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/config"
	"cometpond/internal/syserr"
	"cometpond/policy"
)

// Sink takes messages of other instances.
type Sink interface {
	QueueMessage(from int, data []byte)
}

// Counts are totals since the start.
type Counts struct {
	Sent, Unsent, Received              uint64 // unsent: the queue was full, or the system would not send
	Foreign, Replayed, Old, Misdirected uint64
}

// mostUnsent bounds the datagrams that wait to be sent; one more is lost, as the network may lose it.
const mostUnsent = 1 << 12

// Transport is this instance's socket to the others.
type Transport struct {
	conn  *net.UDPConn
	me    int
	addrs []*net.UDPAddr
	sink  Sink
	log   zerolog.Logger
	out   chan outgoing
	all   *net.UDPAddr // reaches all others with one datagram, nil: there is no such address
	mu    sync.Mutex   // covers seal: datagrams are sealed and opened on goroutines of their own
	seal  envelope

	sent, unsent, heard, foreign, replayed, old, wrongWay atomic.Uint64
}

// envelope is what a message travels in.
type envelope interface {
	// seal returns the datagram that carries a message; nowNS is the wall clock in nanoseconds.
	seal(to int, message []byte, nowNS int64) []byte
	// open returns the sender and the message of a datagram.
	open(b []byte, source netip.AddrPort, nowNS int64) (from int, message []byte, err error)
}

type outgoing struct {
	to   int
	data []byte
}

// OpenSealed binds this instance's address.
func OpenSealed(c *config.Config, sink Sink, log zerolog.Logger) (*Transport, error) {
	l := &Transport{me: c.Self, sink: sink, log: log, out: make(chan outgoing, mostUnsent)}
	for _, i := range c.Instances {
		a, err := net.ResolveUDPAddr("udp", i.PeerAddress)
		if err != nil {
			return nil, fmt.Errorf("instance %d: %w", i.Number, err)
		}
		l.addrs = append(l.addrs, a)
	}
	var err error
	if l.seal, err = newSealer(c.PeerKey, c.Self, len(c.Instances), uint64(time.Now().UnixNano())); err != nil {
		return nil, err
	}
	if err = l.listen(l.addrs[c.Self]); err != nil {
		return nil, err
	}
	return l, nil
}

// OpenPlain binds listen for messages that are not sealed, on a network where nobody else can send: a datagram is
// believed if it comes from the address of another instance. Peers holds an address for each instance, me's own
// included, and all one that reaches every other, "" for none.
func OpenPlain(listen string, peers []string, all string, me int, sink Sink, log zerolog.Logger) (*Transport, error) {
	l := &Transport{me: me, sink: sink, log: log, out: make(chan outgoing, mostUnsent)}
	p := plain{me: me, from: map[netip.AddrPort]int{}}
	for i, s := range peers {
		a, err := net.ResolveUDPAddr("udp", s)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		l.addrs = append(l.addrs, a)
		p.from[key(a.AddrPort())] = i
	}
	if all != "" {
		a, err := net.ResolveUDPAddr("udp", all)
		if err != nil {
			return nil, fmt.Errorf("address of all peers: %w", err)
		}
		l.all = a
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("address for other instances: %w", err)
	}
	if err = l.listen(at); err != nil {
		return nil, err
	}
	l.seal = p
	return l, nil
}

// Times of tries after errors of the system.
const (
	listenFor = 2 * time.Second
	readPause = time.Millisecond
)

// listen binds the socket. What is wanting for a moment is waited for, and so is an address that a process on its way out
// still holds.
func (l *Transport) listen(at *net.UDPAddr) error {
	ctx, cancel := context.WithTimeout(context.Background(), listenFor)
	defer cancel()
	err := syserr.Retry(ctx, syserr.ListenRetryable, func() (err error) {
		l.conn, err = net.ListenUDP("udp", at)
		return err
	})
	if err != nil {
		return fmt.Errorf("socket for other instances: %w", err)
	}
	return nil
}

// SendToPeer sends a message to one instance, or to all others with policy.Broadcast; it never blocks.
func (l *Transport) SendToPeer(instance int, data []byte) {
	if instance == policy.Broadcast && l.all == nil {
		for i := range l.addrs {
			if i != l.me {
				l.SendToPeer(i, data)
			}
		}
		return
	}
	if instance != policy.Broadcast && (instance < 0 || instance >= len(l.addrs)) || len(data) > MaxMessage {
		l.unsent.Add(1)
		return
	}
	select {
	case l.out <- outgoing{instance, data}:
	default:
		l.unsent.Add(1)
	}
}

// Run sends and receives until ctx is over, then closes the socket.
func (l *Transport) Run(ctx context.Context) {
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		l.read()
	}()
	for {
		select {
		case o := <-l.out:
			l.mu.Lock()
			b := l.seal.seal(o.to, o.data, time.Now().UnixNano())
			l.mu.Unlock()
			to := l.all
			if o.to != policy.Broadcast {
				to = l.addrs[o.to]
			}
			if b == nil {
				l.unsent.Add(1)
			} else if _, err := l.conn.WriteToUDP(b, to); err != nil {
				l.unsent.Add(1) // as lost as any: the module tells again
			} else {
				l.sent.Add(1)
			}
		case <-ctx.Done():
			l.conn.Close() // ends the reader
			reader.Wait()
			return
		}
	}
}

func (l *Transport) read() {
	buf := make([]byte, maxPacket+1)
	for {
		n, source, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil { // an ICMP error of an earlier send, or the system is short of something
			time.Sleep(readPause)
			continue
		}
		l.mu.Lock()
		from, message, err := l.seal.open(buf[:n], source, time.Now().UnixNano())
		l.mu.Unlock()
		switch {
		case err == nil:
			l.heard.Add(1)
			l.sink.QueueMessage(from, message)
		case errors.Is(err, ErrReplayed):
			l.replayed.Add(1)
		case errors.Is(err, ErrOld):
			l.old.Add(1)
		case errors.Is(err, ErrWrongWay):
			l.wrongWay.Add(1)
		default:
			l.foreign.Add(1)
		}
	}
}

// Counts returns the totals so far.
func (l *Transport) Counts() Counts {
	return Counts{l.sent.Load(), l.unsent.Load(), l.heard.Load(), l.foreign.Load(), l.replayed.Load(), l.old.Load(), l.wrongWay.Load()}
}
