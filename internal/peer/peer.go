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

// Sink receives the messages of other instances.
type Sink interface {
	// Heard takes an accepted message and the number of the instance that sent it.
	Heard(from int, data []byte)
}

// Counts are totals since the start.
type Counts struct {
	Sent, Unsent, Received              uint64 // unsent: too long, unknown receiver, full queue, or failed to send
	Foreign, Replayed, Old, Misdirected uint64 // received datagrams that were dropped, see ErrForeign and the other errors
}

// sendQueueSize limits the datagrams that wait to be sent. A further one is dropped; the sender must expect losses anyway,
// because the network may lose datagrams.
const mostUnsent = 1 << 12

// Transport exchanges messages with the other instances over a UDP socket.
type Transport struct {
	conn  *net.UDPConn
	me    int
	addrs []*net.UDPAddr // by instance
	sink  Sink
	log   zerolog.Logger
	out   chan outgoing
	all   *net.UDPAddr // broadcast address that reaches all other instances, nil for none
	mu    sync.Mutex   // guards envelope: sending and receiving run on separate goroutines
	seal  envelope

	sent, unsent, heard, foreign, replayed, old, wrongWay atomic.Uint64
}

// envelope is the format of datagrams.
type envelope interface {
	// seal returns the datagram that carries a message, nil if the message can't be sent; nowNS is the wall clock in
	// nanoseconds.
	seal(to int, message []byte, nowNS int64) []byte
	// open returns the sender and the message of a datagram.
	open(datagram []byte, source netip.AddrPort, nowNS int64) (from int, message []byte, err error)
}

// outgoing is a message in the send queue.
type outgoing struct {
	to   int
	data []byte
}

// OpenSealed binds the address of this instance for messages that are encrypted and authenticated.
func OpenSealed(cfg *config.Config, sink Sink, log zerolog.Logger) (*Transport, error) {
	transport := &Transport{me: cfg.Me, sink: sink, log: log, out: make(chan outgoing, mostUnsent)}
	for _, instance := range cfg.Instances {
		addr, err := net.ResolveUDPAddr("udp", instance.Peer)
		if err != nil {
			return nil, fmt.Errorf("instance %d: %w", instance.Number, err)
		}
		transport.addrs = append(transport.addrs, addr)
	}
	var err error
	if transport.seal, err = newSealer(cfg.PeerKey, cfg.Me, len(cfg.Instances), uint64(time.Now().UnixNano())); err != nil {
		return nil, err
	}
	if err = transport.listen(transport.addrs[cfg.Me]); err != nil {
		return nil, err
	}
	return transport, nil
}

// OpenPlain binds the address listen for messages that are not sealed. It is for a network on which nobody else can send: a
// datagram is accepted if it comes from the address of another instance. Peers has the address of each instance, including
// this one; broadcast is an address that reaches all others, "" for none.
func OpenPlain(listen string, peers []string, broadcast string, me int, sink Sink, log zerolog.Logger) (*Transport, error) {
	transport := &Transport{me: me, sink: sink, log: log, out: make(chan outgoing, mostUnsent)}
	format := plain{me: me, from: map[netip.AddrPort]int{}}
	for i, peer := range peers {
		addr, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		transport.addrs = append(transport.addrs, addr)
		format.from[key(addr.AddrPort())] = i
	}
	if broadcast != "" {
		addr, err := net.ResolveUDPAddr("udp", broadcast)
		if err != nil {
			return nil, fmt.Errorf("broadcast address of the peers: %w", err)
		}
		transport.all = addr
	}
	listenAddr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen address for peers: %w", err)
	}
	if err = transport.listen(listenAddr); err != nil {
		return nil, err
	}
	transport.seal = format
	return transport, nil
}

// Timing of retries after system errors: how long binding the address is retried, and the delay after a failed read.
const (
	listenFor = 2 * time.Second
	readPause = time.Millisecond
)

// listen binds the socket. It retries if the system is short of a resource, and if the address is still in use by a process
// that is exiting.
func (l *Transport) listen(addr *net.UDPAddr) error {
	ctx, cancel := context.WithTimeout(context.Background(), listenFor)
	defer cancel()
	err := syserr.Retry(ctx, syserr.Busy, func() (err error) {
		l.conn, err = net.ListenUDP("udp", addr)
		return err
	})
	if err != nil {
		return fmt.Errorf("could not open the socket for peers: %w", err)
	}
	return nil
}

// Tell queues a message for one instance, or for all others with policy.Broadcast. It never blocks; the message may be lost.
func (l *Transport) Tell(instance int, data []byte) {
	if instance == policy.Broadcast && l.all == nil {
		for i := range l.addrs {
			if i != l.me {
				l.Tell(i, data)
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

// Run sends and receives messages until ctx is done, then closes the socket.
func (l *Transport) Run(ctx context.Context) {
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		l.read()
	}()
	for {
		select {
		case message := <-l.out:
			l.mu.Lock()
			datagram := l.seal.seal(message.to, message.data, time.Now().UnixNano())
			l.mu.Unlock()
			addr := l.all
			if message.to != policy.Broadcast {
				addr = l.addrs[message.to]
			}
			if datagram == nil {
				l.unsent.Add(1)
			} else if _, err := l.conn.WriteToUDP(datagram, addr); err != nil {
				l.unsent.Add(1) // not retried: like after any loss, the policy module sends its state again
			} else {
				l.sent.Add(1)
			}
		case <-ctx.Done():
			l.conn.Close() // ends receive
			reader.Wait()
			return
		}
	}
}

// receive passes the messages of accepted datagrams to the sink until the socket is closed.
func (l *Transport) read() {
	buf := make([]byte, maxPacket+1)
	for {
		n, source, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil { // an ICMP error in response to an earlier send, or the system is short of a resource
			time.Sleep(readPause)
			continue
		}
		l.mu.Lock()
		from, message, err := l.seal.open(buf[:n], source, time.Now().UnixNano())
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
func (l *Transport) Counts() Counts {
	return Counts{l.sent.Load(), l.unsent.Load(), l.heard.Load(), l.foreign.Load(), l.replayed.Load(), l.old.Load(), l.wrongWay.Load()}
}
