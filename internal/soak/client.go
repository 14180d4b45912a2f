package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"cometpond/internal/resp"
)

// client sends one request after the other, over one connection for as long as that is open.
type client struct {
	fleet        *fleet
	rng          *rand.Rand
	conn         net.Conn
	reader       *bufio.Reader
	ingress      *ingress
	process      int
	requestCount int // requests sent over the connection
}

// Parameters of the clients.
const (
	disconnectShare = 0.03 // of the requests, during which the client disconnects
	reconnectShare  = 0.05 // of the requests, after which the client opens a new connection
	meanThinkTime   = 15 * time.Millisecond
	dialTimeout     = time.Second
	refusedPause    = 300 * time.Millisecond // no connection is made to an ingress for so long after it refused one
)

// run sends requests until the run is over.
func (c *client) run() {
	defer c.closeConnection()
	for !c.fleet.finished() {
		if c.conn == nil && !c.connect() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.sendRequest()
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(meanThinkTime)))
		if c.conn != nil && c.rng.Float64() < reconnectShare {
			c.closeConnection()
		}
	}
}

func (c *client) closeConnection() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to an ingress that accepts clients, and reports whether it could.
func (c *client) connect() bool {
	ing, process := c.fleet.pick(c.rng)
	if ing == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", ing.cfg.listen, dialTimeout)
	if err != nil {
		ing.avoidFor(refusedPause)
		return false
	}
	c.conn, c.reader, c.ingress, c.process, c.requestCount = conn, bufio.NewReader(conn), ing, process, 0
	return true
}

// sendRequest sends one request, waits for its outcome and records it.
func (c *client) sendRequest() {
	class := c.fleet.classes[c.rng.IntN(len(c.fleet.classes))]
	q := Request{ID: c.fleet.newID(), Class: class, Ingress: c.ingress.number, Process: c.process, First: c.requestCount == 0}
	c.requestCount++
	pairs := fmt.Sprintf("c=%s,t=basic,d=%d", class.Name, class.Deadline.Milliseconds())
	if class.Keyed {
		pairs += fmt.Sprintf(",k=%016x", c.rng.Uint64())
	}
	customer := fmt.Sprintf("%016x", c.rng.IntN(40))
	command := resp.AppendCommand(nil, class.Command, customer, q.ID,
		pairs+fmt.Sprintf(",units=1,spread=%d,first=0", c.fleet.ingresses))
	_ = c.conn.SetDeadline(time.Now().Add(class.Deadline + maxLateness + time.Second))
	if _, err := c.conn.Write(command); err != nil {
		q.Sent, q.Outcome, q.EndedAt, q.Text = time.Now(), Unsent, time.Now(), err.Error()
		c.closeConnection()
		c.record(q)
		return
	}
	q.Sent = time.Now()
	q.Deadline = q.Sent.Add(class.Deadline)
	if c.rng.Float64() < disconnectShare {
		c.disconnect(&q)
	} else {
		c.awaitReply(&q)
	}
	c.record(q)
}

// disconnect closes the connection after a random time, whether or not a reply has arrived by then.
func (c *client) disconnect(q *Request) {
	time.Sleep(time.Duration(c.rng.Float64() * float64(4*meanServiceTime)))
	c.closeConnection()
	q.Outcome, q.EndedAt = Disconnected, time.Now()
}

// awaitReply reads the reply and sets the request's outcome.
func (c *client) awaitReply(q *Request) {
	text, err := readReply(c.reader)
	q.EndedAt, q.Text = time.Now(), text
	var timeout net.Error
	switch {
	case err == nil && text == "value of "+q.ID:
		q.Outcome = Served
	case err == nil && strings.HasPrefix(text, "-"):
		q.Outcome = ErrorReply
	case err == nil:
		q.Outcome = WrongValue
	case errors.As(err, &timeout) && timeout.Timeout():
		q.Outcome, q.Text = TimedOut, err.Error()
		c.closeConnection()
	default:
		q.Outcome, q.Text = ConnectionClosed, err.Error()
		c.closeConnection()
	}
}

func (c *client) record(q Request) {
	r := c.fleet.record
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// readReply reads one RESP reply. It returns the text of a bulk string, and any other reply as its line.
func readReply(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return line, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if n, err := strconv.Atoi(strings.TrimPrefix(line, "$")); strings.HasPrefix(line, "$") && err == nil && n >= 0 {
		text := make([]byte, n+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return "", err
		}
		return string(text[:n]), nil
	}
	return line, nil
}
