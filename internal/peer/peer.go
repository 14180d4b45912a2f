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
	QueueMessage(from int, data []byte) // takes an accepted message and the number of the instance that sent it
}

// Counts are totals since the start.
type Counts struct {
	Sent, Unsent, Received              uint64 // unsent: too long, unknown receiver, full queue, or failed to send
	Foreign, Replayed, Old, Misdirected uint64 // received datagrams that were dropped, see ErrForeign and the other errors
}

// sendQueueSize limits the datagrams that wait to be sent. A further one is dropped; the sender must expect losses anyway,
// because the network may lose datagrams.
const sendQueueSize = 1 << 12

// Transport exchanges messages with the other instances over a UDP socket.
type Transport struct {
	conn          *net.UDPConn
	self          int
	addrs         []*net.UDPAddr // by instance
	sink          Sink
	log           zerolog.Logger
	queue         chan outgoing
	broadcastAddr *net.UDPAddr // broadcast address that reaches all other instances, nil for none
	mu            sync.Mutex   // guards envelope: sending and receiving run on separate goroutines
	envelope      envelope

	sent, unsent, received, foreign, replayed, old, misdirected atomic.Uint64
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
	transport := &Transport{self: cfg.Self, sink: sink, log: log, queue: make(chan outgoing, sendQueueSize)}
	for _, instance := range cfg.Instances {
		addr, err := net.ResolveUDPAddr("udp", instance.PeerAddress)
		if err != nil {
			return nil, fmt.Errorf("instance %d: %w", instance.Number, err)
		}
		transport.addrs = append(transport.addrs, addr)
	}
	var err error
	if transport.envelope, err = newSealer(cfg.PeerKey, cfg.Self, len(cfg.Instances), uint64(time.Now().UnixNano())); err != nil {
		return nil, err
	}
	if err = transport.listen(transport.addrs[cfg.Self]); err != nil {
		return nil, err
	}
	return transport, nil
}

// OpenPlain binds the address listen for messages that are not sealed. It is for a network on which nobody else can send: a
// datagram is accepted if it comes from the address of another instance. Peers has the address of each instance, including
// this one; broadcast is an address that reaches all others, "" for none.
func OpenPlain(listen string, peers []string, broadcast string, self int, sink Sink, log zerolog.Logger) (*Transport, error) {
	transport := &Transport{self: self, sink: sink, log: log, queue: make(chan outgoing, sendQueueSize)}
	format := plainEnvelope{self: self, senders: map[netip.AddrPort]int{}}
	for i, peer := range peers {
		addr, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		transport.addrs = append(transport.addrs, addr)
		format.senders[unmap(addr.AddrPort())] = i
	}
	if broadcast != "" {
		addr, err := net.ResolveUDPAddr("udp", broadcast)
		if err != nil {
			return nil, fmt.Errorf("broadcast address of the peers: %w", err)
		}
		transport.broadcastAddr = addr
	}
	listenAddr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen address for peers: %w", err)
	}
	if err = transport.listen(listenAddr); err != nil {
		return nil, err
	}
	transport.envelope = format
	return transport, nil
}

// Timing of retries after system errors: how long binding the address is retried, and the delay after a failed read.
const (
	listenRetryPeriod = 2 * time.Second
	readRetryDelay    = time.Millisecond
)

// listen binds the socket. It retries if the system is short of a resource, and if the address is still in use by a process
// that is exiting.
func (transport *Transport) listen(addr *net.UDPAddr) error {
	ctx, cancel := context.WithTimeout(context.Background(), listenRetryPeriod)
	defer cancel()
	err := syserr.Retry(ctx, syserr.ListenRetryable, func() (err error) {
		transport.conn, err = net.ListenUDP("udp", addr)
		return err
	})
	if err != nil {
		return fmt.Errorf("could not open the socket for peers: %w", err)
	}
	return nil
}

// SendToPeer queues a message for one instance, or for all others with policy.Broadcast. It never blocks; the message may be lost.
func (transport *Transport) SendToPeer(instance int, data []byte) {
	if instance == policy.Broadcast && transport.broadcastAddr == nil {
		for i := range transport.addrs {
			if i != transport.self {
				transport.SendToPeer(i, data)
			}
		}
		return
	}
	if instance != policy.Broadcast && (instance < 0 || instance >= len(transport.addrs)) || len(data) > MaxMessage {
		transport.unsent.Add(1)
		return
	}
	select {
	case transport.queue <- outgoing{instance, data}:
	default:
		transport.unsent.Add(1)
	}
}

// Run sends and receives messages until ctx is done, then closes the socket.
func (transport *Transport) Run(ctx context.Context) {
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		transport.receive()
	}()
	for {
		select {
		case message := <-transport.queue:
			transport.mu.Lock()
			datagram := transport.envelope.seal(message.to, message.data, time.Now().UnixNano())
			transport.mu.Unlock()
			addr := transport.broadcastAddr
			if message.to != policy.Broadcast {
				addr = transport.addrs[message.to]
			}
			if datagram == nil {
				transport.unsent.Add(1)
			} else if _, err := transport.conn.WriteToUDP(datagram, addr); err != nil {
				transport.unsent.Add(1) // not retried: like after any loss, the policy module sends its state again
			} else {
				transport.sent.Add(1)
			}
		case <-ctx.Done():
			transport.conn.Close() // ends receive
			reader.Wait()
			return
		}
	}
}

// receive passes the messages of accepted datagrams to the sink until the socket is closed.
func (transport *Transport) receive() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, source, err := transport.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil { // an ICMP error in response to an earlier send, or the system is short of a resource
			time.Sleep(readRetryDelay)
			continue
		}
		transport.mu.Lock()
		from, message, err := transport.envelope.open(buf[:n], source, time.Now().UnixNano())
		transport.mu.Unlock()
		switch {
		case err == nil:
			transport.received.Add(1)
			transport.sink.QueueMessage(from, message)
		case errors.Is(err, ErrReplayed):
			transport.replayed.Add(1)
		case errors.Is(err, ErrOld):
			transport.old.Add(1)
		case errors.Is(err, ErrMisdirected):
			transport.misdirected.Add(1)
		default:
			transport.foreign.Add(1)
		}
	}
}

// Counts returns the totals so far.
func (transport *Transport) Counts() Counts {
	return Counts{transport.sent.Load(), transport.unsent.Load(), transport.received.Load(), transport.foreign.Load(),
		transport.replayed.Load(), transport.old.Load(), transport.misdirected.Load()}
}
