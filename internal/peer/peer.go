package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/config"
)

// Sink takes messages of other instances.
type Sink interface {
	Heard(from int, data []byte)
}

// Counts are totals since the start.
type Counts struct {
	Sent, Unsent, Heard              uint64 // unsent: the queue was full, or the system would not send
	Foreign, Replayed, Old, WrongWay uint64
}

// mostUnsent bounds the datagrams that wait to be sent; one more is lost, as the network may lose it.
const mostUnsent = 1 << 12

// Link is this instance's socket to the others.
type Link struct {
	conn  *net.UDPConn
	addrs []*net.UDPAddr
	sink  Sink
	log   zerolog.Logger
	out   chan outgoing
	mu    sync.Mutex // covers sealer: datagrams are sealed and opened on goroutines of their own
	seal  *sealer

	sent, unsent, heard, foreign, replayed, old, wrongWay atomic.Uint64
}

type outgoing struct {
	to   int
	data []byte
}

// Open binds this instance's address.
func Open(c *config.Config, sink Sink, log zerolog.Logger) (*Link, error) {
	l := &Link{sink: sink, log: log, out: make(chan outgoing, mostUnsent)}
	for _, i := range c.Instances {
		a, err := net.ResolveUDPAddr("udp", i.Peer)
		if err != nil {
			return nil, fmt.Errorf("instance %d: %w", i.Number, err)
		}
		l.addrs = append(l.addrs, a)
	}
	var err error
	if l.seal, err = newSealer(c.PeerKey, c.Me, len(c.Instances), uint64(time.Now().UnixNano())); err != nil {
		return nil, err
	}
	if l.conn, err = net.ListenUDP("udp", l.addrs[c.Me]); err != nil {
		return nil, fmt.Errorf("socket for other instances: %w", err)
	}
	return l, nil
}

// Tell sends a message; it never blocks.
func (l *Link) Tell(instance int, data []byte) {
	if instance < 0 || instance >= len(l.addrs) || len(data) > MaxMessage {
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
func (l *Link) Run(ctx context.Context) {
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
			if _, err := l.conn.WriteToUDP(b, l.addrs[o.to]); err != nil {
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

func (l *Link) read() {
	buf := make([]byte, maxPacket+1)
	for {
		n, _, err := l.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue // an ICMP error of an earlier send
		}
		l.mu.Lock()
		from, message, err := l.seal.open(buf[:n], time.Now().UnixNano())
		l.mu.Unlock()
		switch {
		case err == nil:
			l.heard.Add(1)
			l.sink.Heard(from, message)
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
func (l *Link) Counts() Counts {
	return Counts{l.sent.Load(), l.unsent.Load(), l.heard.Load(), l.foreign.Load(), l.replayed.Load(), l.old.Load(), l.wrongWay.Load()}
}
