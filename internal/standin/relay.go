package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// DatagramRelay stands between instances: each direction has a port of its own, on which datagrams to one instance
// from another come in. It passes, loses or cuts them.
type DatagramRelay struct {
	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	part  []int // of each instance; messages pass within a part only
	socks [][]*net.UDPConn
	to    []*net.UDPAddr
	work  sync.WaitGroup
}

// NewDatagramRelay opens a port for each pair of the instances at these addresses.
func NewDatagramRelay(instances []string, seed uint64) (*DatagramRelay, error) {
	n := len(instances)
	r := &DatagramRelay{rng: rand.New(rand.NewPCG(seed, 2)), part: make([]int, n), socks: make([][]*net.UDPConn, n)}
	for _, a := range instances {
		to, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
		r.to = append(r.to, to)
	}
	for from := range n {
		r.socks[from] = make([]*net.UDPConn, n)
		for to := range n {
			if from == to {
				continue
			}
			c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				r.Close()
				return nil, fmt.Errorf("relay: %w", err)
			}
			r.socks[from][to] = c
			r.work.Add(1)
			go r.carry(c, from, to)
		}
	}
	return r, nil
}

// Addr is where one instance sends what is meant for another.
func (r *DatagramRelay) Addr(from, to int) string { return r.socks[from][to].LocalAddr().String() }

// SetLoss drops this share of the datagrams, at random.
func (r *DatagramRelay) SetLoss(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

// Partition lets datagrams pass only between instances of the same part; all in one part: none is cut.
func (r *DatagramRelay) Partition(part []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	copy(r.part, part)
}

func (r *DatagramRelay) carry(c *net.UDPConn, from, to int) {
	defer r.work.Done()
	buf := make([]byte, 2048)
	for {
		n, _, err := c.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		r.mu.Lock()
		pass := r.part[from] == r.part[to] && r.rng.Float64() >= r.loss
		r.mu.Unlock()
		if pass {
			_, _ = c.WriteToUDP(buf[:n], r.to[to]) // as lost as any
		}
	}
}

// Close ends the relay and waits for its goroutines.
func (r *DatagramRelay) Close() {
	for _, row := range r.socks {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	r.work.Wait()
}
