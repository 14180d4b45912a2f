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

// client asks one request after the other, over one connection for as long as that stands.
type client struct {
	fleet *fleet
	rng   *rand.Rand
	conn  net.Conn
	in    *bufio.Reader
	to    *ingress
	life  int
	count int // requests over the connection
}

// Clients' habits.
const (
	leaveShare  = 0.03 // of the requests, in which the client leaves while it waits
	renewShare  = 0.05 // after which it opens another connection
	thinkMean   = 15 * time.Millisecond
	dialTimeout = time.Second
	outFor      = 300 * time.Millisecond // an ingress that refused a connection is left alone
)

func (c *client) run() {
	defer c.hangUp()
	for !c.fleet.over() {
		if c.conn == nil && !c.connect() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.ask()
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(thinkMean)))
		if c.conn != nil && c.rng.Float64() < renewShare {
			c.hangUp()
		}
	}
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect() bool {
	n, life := c.fleet.pick(c.rng)
	if n == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", n.cfg.listen, dialTimeout)
	if err != nil {
		n.leaveAlone(outFor)
		return false
	}
	c.conn, c.in, c.to, c.life, c.count = conn, bufio.NewReader(conn), n, life, 0
	return true
}

// ask sends one request and waits for what becomes of it.
func (c *client) ask() {
	class := c.fleet.classes[c.rng.IntN(len(c.fleet.classes))]
	q := Request{ID: c.fleet.newID(), Class: class, Ingress: c.to.number, Life: c.life, First: c.count == 0}
	c.count++
	pairs := fmt.Sprintf("c=%s,t=basic,d=%d", class.Name, class.Deadline.Milliseconds())
	if class.Keyed {
		pairs += fmt.Sprintf(",k=%016x", c.rng.Uint64())
	}
	customer := fmt.Sprintf("%016x", c.rng.IntN(40))
	command := resp.AppendCommand(nil, class.Command, customer, q.ID, pairs+fmt.Sprintf(",units=1,spread=%d,first=0", c.fleet.ingresses))
	_ = c.conn.SetDeadline(time.Now().Add(class.Deadline + lateMost + time.Second))
	if _, err := c.conn.Write(command); err != nil {
		q.Sent, q.End, q.EndedAt, q.Text = time.Now(), Unsent, time.Now(), err.Error()
		c.hangUp()
		c.record(q)
		return
	}
	q.Sent = time.Now()
	q.Deadline = q.Sent.Add(class.Deadline)
	if c.rng.Float64() < leaveShare {
		c.leave(&q)
	} else {
		c.wait(&q)
	}
	c.record(q)
}

// leave closes the connection after a while, whether or not an answer has come by then.
func (c *client) leave(q *Request) {
	time.Sleep(time.Duration(c.rng.Float64() * float64(4*serviceMean)))
	c.hangUp()
	q.End, q.EndedAt = Left, time.Now()
}

func (c *client) wait(q *Request) {
	text, err := answer(c.in)
	q.EndedAt, q.Text = time.Now(), text
	var timeout net.Error
	switch {
	case err == nil && text == "value of "+q.ID:
		q.End = Served
	case err == nil && strings.HasPrefix(text, "-"):
		q.End = Answered
	case err == nil:
		q.End = Wrong
	case errors.As(err, &timeout) && timeout.Timeout():
		q.End, q.Text = Silent, err.Error()
		c.hangUp()
	default:
		q.End, q.Text = Ended, err.Error()
		c.hangUp()
	}
}

func (c *client) record(q Request) {
	r := c.fleet.record
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// answer reads one answer: a bulk string's text, or a line.
func answer(in *bufio.Reader) (string, error) {
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
