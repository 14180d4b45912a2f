package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cometpond/internal/standin"
)

// attemptDeadline is how long after its client has left an attempt may begin: the stated 0.1 s, and 0.05 s for the sockets.
const attemptDeadline = 150 * time.Millisecond

// attemptTimes records when attempts arrive at servers that take a random time to answer.
type attemptTimes struct {
	mu      sync.Mutex
	rng     *rand.Rand
	arrived map[string][]time.Time // by request id
	value   string                 // of the answers
}

func newAttemptTimes(valueBytes int) *attemptTimes {
	return &attemptTimes{rng: rand.New(rand.NewPCG(7, 11)), arrived: map[string][]time.Time{}, value: strings.Repeat("v", valueBytes)}
}

// answer is a server's answer function.
func (times *attemptTimes) answer(conn net.Conn, s standin.ReceivedCommand) {
	times.mu.Lock()
	times.arrived[s.Words[2]] = append(times.arrived[s.Words[2]], s.At)
	wait := 80*time.Millisecond + time.Duration(times.rng.ExpFloat64()*float64(250*time.Millisecond))
	times.mu.Unlock()
	time.Sleep(wait)
	_, _ = fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(times.value), times.value)
}

// late returns how many attempts for the requests have arrived, how many of them too late after the time at which their client
// has left, and the longest time after it.
func (times *attemptTimes) late(ids []string, left time.Time) (attempts, late int, worst time.Duration) {
	times.mu.Lock()
	defer times.mu.Unlock()
	for _, id := range ids {
		for _, at := range times.arrived[id] {
			attempts++
			if after := at.Sub(left); after > attemptDeadline {
				late++
				worst = max(worst, after)
			}
		}
	}
	return attempts, late, worst
}

// leavingClient sends commands at once, and leaves as soon as the system has taken them.
type leavingClient struct {
	commands, body int
	unread         bool // its socket takes few answers
	leave          func(conn *net.TCPConn) error
}

// run uses a connection, and returns the ids of the commands and when the client left.
func (leaving leavingClient) run(t *testing.T, conn *net.TCPConn) (ids []string, left time.Time) {
	if leaving.unread {
		_ = conn.SetReadBuffer(4 << 10)
	}
	var text []byte
	for range leaving.commands {
		ids = append(ids, newID())
		text = append(text, bodyRequest(ids[len(ids)-1], "status", 2500, leaving.body)...)
	}
	if _, err := conn.Write(text); err != nil {
		t.Error(err)
	}
	left = time.Now()
	if err := leaving.leave(conn); err != nil {
		t.Error(err)
	}
	return ids, left
}

// Guards against attempts that begin for a client that has sent much at once and left: the end of its connection lies behind
// all that it has sent, so whoever stops reading does not see it.
func TestNoAttemptBeginsForClientThatLeft(t *testing.T) {
	closed, halfClosed := (*net.TCPConn).Close, (*net.TCPConn).CloseWrite
	for _, test := range []struct {
		name              string
		memoryMB, sockets int
		clients, halfSent int // that leave; that stop in the middle of a long command
		valueBytes        int
		leavingClient
	}{
		{"300 commands of 8 kB", 96, 512, 1, 0, 10, leavingClient{300, 8 << 10, false, closed}},
		{"300 commands of 8 kB, little memory", 24, 96, 1, 0, 10, leavingClient{300, 8 << 10, false, closed}},
		{"3000 short commands", 64, 512, 1, 0, 10, leavingClient{3000, 0, false, closed}},
		{"80 commands of 60 kB", 48, 256, 1, 0, 10, leavingClient{80, 60 << 10, false, closed}},
		{"four long commands while others hold the input memory", 32, 256, 10, 60, 10, leavingClient{4, 60 << 10, false, closed}},
		{"20 clients at once", 64, 256, 20, 0, 10, leavingClient{100, 4 << 10, false, closed}},
		{"1200 commands of 2 kB, end of sending", 64, 256, 1, 0, 10, leavingClient{1200, 2 << 10, false, halfClosed}},
		{"long answers that are not read", 64, 256, 1, 0, 20 << 10, leavingClient{800, 4 << 10, true, halfClosed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			times := newAttemptTimes(test.valueBytes)
			_, addr := startLimited(t, newPlatform(t, 12, times.answer), test.memoryMB, test.sockets)
			for range test.halfSent {
				whole := longRequest("status", 60<<10)
				dial(t, addr).send(whole[:len(whole)/2])
			}
			for range 2 {
				var leaving sync.WaitGroup
				for range test.clients {
					conn := dial(t, addr).Conn.(*net.TCPConn)
					leaving.Add(1)
					go func() {
						defer leaving.Done()
						ids, left := test.run(t, conn)
						time.Sleep(time.Second)
						attempts, late, worst := times.late(ids, left)
						t.Logf("%d attempts, %d of them late", attempts, late)
						if late > 0 {
							t.Errorf("%d of %d attempts began over %v after the client had left, the last %v", late, attempts, attemptDeadline, worst)
						}
					}()
				}
				leaving.Wait()
			}
		})
	}
}
