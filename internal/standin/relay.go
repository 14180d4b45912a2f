package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// DatagramRelay forwards datagrams between instances. Each ordered pair of instances has its own port. The relay can drop
// datagrams at random, or all those between the sides of a network partition.
type DatagramRelay struct {
	mu           sync.Mutex
	rng          *rand.Rand
	loss         float64
	partition    []int // side of each instance; datagrams pass only within a side
	sockets      [][]*net.UDPConn
	destinations []*net.UDPAddr
	goroutines   sync.WaitGroup
}

// NewDatagramRelay opens a port for each pair of the instances at these addresses.
func NewDatagramRelay(instances []string, seed uint64) (*DatagramRelay, error) {
	n := len(instances)
	r := &DatagramRelay{rng: rand.New(rand.NewPCG(seed, 2)), partition: make([]int, n), sockets: make([][]*net.UDPConn, n)}
	for _, a := range instances {
		to, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		r.destinations = append(r.destinations, to)
	}
	for from := range n {
		r.sockets[from] = make([]*net.UDPConn, n)
		for to := range n {
			if from == to {
				continue
			}
			c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				r.Close()
				return nil, fmt.Errorf("relay: %w", err)
			}
			r.sockets[from][to] = c
			r.goroutines.Add(1)
			go r.forward(c, from, to)
		}
	}
	return r, nil
}

// Addr returns the address to which one instance sends datagrams for another.
func (relay *DatagramRelay) Addr(from, to int) string {
	return relay.sockets[from][to].LocalAddr().String()
}

// SetLoss sets the share of the datagrams that is dropped at random.
func (relay *DatagramRelay) SetLoss(share float64) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.loss = share
}

// Partition assigns each instance to a side. Datagrams pass only between instances of the same side.
func (relay *DatagramRelay) Partition(part []int) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	copy(relay.partition, part)
}

// forward forwards the datagrams from one instance to another.
func (relay *DatagramRelay) forward(c *net.UDPConn, from, to int) {
	defer relay.goroutines.Done()
	buf := make([]byte, 2048)
	for {
		n, _, err := c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		relay.mu.Lock()
		pass := relay.partition[from] == relay.partition[to] && relay.rng.Float64() >= relay.loss
		relay.mu.Unlock()
		if pass {
			_, _ = c.WriteToUDP(buf[:n], relay.destinations[to]) // a failed write is a lost datagram
		}
	}
}

// Close stops the relay and waits for its goroutines.
func (relay *DatagramRelay) Close() {
	for _, row := range relay.sockets {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	relay.goroutines.Wait()
}
