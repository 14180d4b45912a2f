package standin

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"cometpond/internal/config"
	"cometpond/internal/resp"
)

// Job describes how a server handles a command and what work it takes.
type Job struct {
	Work    float64 // mean seconds of a core of speed 1
	KeyAt   int     // index of the word that holds the submission key, 0: none
	KeyTTLS float64 // for so long a repeat of a key gets the first reply without running
	Echo    int     // index of the word that the reply repeats, 0: none
}

// Arrival records one command that reached a server.
type Arrival struct {
	At       time.Time
	Server   string
	Instance string // name given by CLIENT SETNAME
	Words    []string
	Outcome  Outcome
	Executed bool // it ran: it was neither a repeat nor rejected
}

// SubmissionKeys holds the submission keys that the servers of one zone have seen.
type SubmissionKeys struct {
	mu      sync.Mutex
	records map[string]keyRecord
}

// keyRecord is the first request with a submission key, and its reply.
type keyRecord struct {
	at     time.Time
	doneAt time.Time
	reply  string
}

// NewSubmissionKeys returns an empty set of keys.
func NewSubmissionKeys() *SubmissionKeys { return &SubmissionKeys{records: map[string]keyRecord{}} }

// ServerOptions are the options of a Server.
type ServerOptions struct {
	Params     Params
	Jobs       map[string]Job // by command name in upper case
	Seed       uint64
	Keys       *SubmissionKeys        // shared by the servers of a zone; nil: not shared
	OnArrival  func(Arrival)          // called for each command in Jobs, never concurrently for one server
	Name       string                 // in the list of servers, "": the address
	Load       string                 // "answer": replies carry the load; else only INFO reports it
	WorkFactor func(n uint64) float64 // factor on the work of the n-th request, nil: always 1
}

// Server is a stand-in for a back-end server with a queue, on a TCP address.
type Server struct {
	addr    string
	name    string
	options ServerOptions
	rng     *rand.Rand

	mu           sync.Mutex // guards the fields below and orders the calls of OnArrival
	model        *Model
	listener     net.Listener
	conns        map[net.Conn]struct{}
	silent       bool
	mutedCommand string // commands of this name get no reply
	jobCount     uint64
	startedAt    time.Time
	goroutines   sync.WaitGroup
}

// NewServer starts a server on an address; port 0 selects a free port.
func NewServer(addr string, opt ServerOptions) (*Server, error) {
	if opt.Keys == nil {
		opt.Keys = NewSubmissionKeys()
	}
	srv := &Server{addr: addr, options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), model: NewModel(opt.Params),
		conns: map[net.Conn]struct{}{}, startedAt: time.Now()}
	if err := srv.listen(); err != nil {
		return nil, err
	}
	if srv.name = opt.Name; srv.name == "" {
		srv.name = srv.addr
	}
	return srv, nil
}

// listen starts to accept connections.
func (srv *Server) listen() error {
	ln, err := net.Listen("tcp", srv.addr)
	if err != nil {
		return fmt.Errorf("server stand-in: %w", err)
	}
	srv.listener, srv.addr = ln, ln.Addr().String()
	srv.goroutines.Add(1)
	go srv.accept(ln)
	return nil
}

// Addr returns the address that the server listens on.
func (srv *Server) Addr() string { return srv.addr }

// now returns the time in the model's seconds. It starts at 1, since 0 means long ago there.
func (srv *Server) now() float64 { return time.Since(srv.startedAt).Seconds() + 1 }

// accept serves the connections of a listener until it is closed.
func (srv *Server) accept(ln net.Listener) {
	defer srv.goroutines.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		srv.mu.Lock()
		if srv.listener != ln { // Down was called meanwhile
			srv.mu.Unlock()
			closeWithReset(c)
			continue
		}
		srv.conns[c] = struct{}{}
		srv.goroutines.Add(2)
		srv.mu.Unlock()
		replies := make(chan reply, 1024)
		go srv.read(c, replies)
		go srv.write(c, replies)
	}
}

// reply is written at its time. It is dropped if it is to be discarded or the server is silent.
type reply struct {
	sendAt  time.Time
	text    []byte
	discard bool
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// read parses and runs the commands of a connection.
func (srv *Server) read(c net.Conn, replies chan<- reply) {
	defer srv.goroutines.Done()
	defer close(replies)
	defer func() {
		srv.mu.Lock()
		delete(srv.conns, c)
		srv.mu.Unlock()
		c.Close()
	}()
	var buf []byte
	chunk := make([]byte, 16<<10)
	name, version := "", 2
	for {
		args, n, _, err := resp.ParseCommand(buf, nil, resp.DefaultLimits)
		if errors.Is(err, resp.ErrIncomplete) {
			m, err := c.Read(chunk)
			if err != nil {
				return
			}
			buf = append(buf, chunk[:m]...)
			continue
		} else if err != nil {
			_, _ = c.Write(resp.AppendError(nil, "ERR "+err.Error()))
			return
		}
		buf = buf[n:]
		if len(args) == 0 {
			continue
		}
		words := make([]string, len(args))
		for i, a := range args {
			words[i] = string(a)
		}
		words[0] = strings.ToUpper(words[0])
		var r reply
		switch {
		case words[0] == "CLIENT" && len(words) == 3 && strings.EqualFold(words[1], "SETNAME"):
			name = words[2]
			r.text = []byte("+OK\r\n")
		case words[0] == "HELLO" && len(words) > 1:
			if words[1] == "3" {
				version = 3
			}
			r.text = resp.AppendMapHeader(nil, version, 0)
		case words[0] == "PING":
			r.text = []byte("+PONG\r\n")
		case words[0] == "INFO":
			r.text = resp.AppendBulk(nil, srv.info())
		default:
			r = srv.job(name, words)
			if version == 3 && srv.options.Load == "answer" {
				r.text = append(resp.AppendBulk(resp.AppendBulk([]byte("|1\r\n"), "util"), srv.util()), r.text...)
			}
		}
		replies <- r
	}
}

// write sends the replies of a connection in order, each at its time.
func (srv *Server) write(c net.Conn, replies <-chan reply) {
	defer srv.goroutines.Done()
	for r := range replies {
		if d := time.Until(r.sendAt); d > 0 {
			time.Sleep(d)
		}
		srv.mu.Lock()
		silent := srv.silent
		srv.mu.Unlock()
		if silent || r.discard {
			continue
		}
		if _, err := c.Write(r.text); err != nil && !errors.Is(err, io.EOF) {
			continue // read notices the closed connection and closes replies
		}
	}
}

// job runs a command that is in Jobs and reports its arrival.
func (srv *Server) job(instance string, words []string) reply {
	j, known := srv.options.Jobs[words[0]]
	if !known || j.KeyAt >= len(words) {
		return reply{text: resp.AppendError(nil, "ERR unknown command '"+words[0]+"'")}
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	at := time.Now()
	a := Arrival{At: at, Server: srv.name, Instance: instance, Words: words}
	r := srv.run(at, j, words, &a)
	r.discard = words[0] == srv.mutedCommand
	if srv.options.OnArrival != nil {
		srv.options.OnArrival(a)
	}
	return r
}

// run offers a command's work to the model and returns the reply. It is called with mu held.
func (srv *Server) run(at time.Time, j Job, words []string, a *Arrival) reply {
	mem := srv.options.Keys
	key := ""
	if j.KeyAt > 0 {
		key = words[j.KeyAt]
		mem.mu.Lock()
		defer mem.mu.Unlock()
		if seen, ok := mem.records[key]; ok && at.Sub(seen.at).Seconds() <= j.KeyTTLS {
			return reply{sendAt: seen.doneAt, text: []byte(seen.reply)}
		}
	}
	work := j.Work * math.Max(0.2, srv.rng.ExpFloat64()*0.5+0.5)
	if srv.jobCount++; srv.options.WorkFactor != nil {
		work *= srv.options.WorkFactor(srv.jobCount)
	}
	done, ruling := srv.model.Offer(srv.now(), work)
	a.Outcome = ruling
	switch ruling {
	case QueueFull:
		return reply{text: resp.AppendError(nil, "BUSY the queue is full")}
	case Crashed:
		srv.silent = true
		return reply{}
	}
	a.Executed = true
	doneAt := srv.startedAt.Add(time.Duration((done - 1) * 1e9))
	text := strings.Join([]string{words[0], "done", words[min(1, len(words)-1)]}, " ")
	if j.Echo > 0 && j.Echo < len(words) {
		text = string(resp.AppendBulk(nil, text+" "+words[j.Echo]))
	} else {
		text = string(resp.AppendSimple(nil, text))
	}
	if key != "" {
		mem.records[key] = keyRecord{at, doneAt, text}
	}
	return reply{sendAt: doneAt, text: []byte(text)}
}

// util returns the utilization as text.
func (srv *Server) util() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return fmt.Sprintf("%.3f", srv.model.Util(srv.now()))
}

// info returns the reply to INFO.
func (srv *Server) info() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := srv.now()
	return fmt.Sprintf("# Load\r\nutil:%.3f\r\nqueue:%d\r\n", srv.model.Util(now), srv.model.Waiting(now))
}

// Silent makes the server read and run commands without replying, or reply again.
func (srv *Server) Silent(on bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.silent = on
}

// Mute makes the server drop the replies to one command; "" for none.
func (srv *Server) Mute(command string) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.mutedCommand = command
}

// Slow multiplies the duration of all later work by a factor.
func (srv *Server) Slow(factor float64) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.model.Slow(factor)
}

// Down resets all connections and stops listening.
func (srv *Server) Down() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.listener != nil {
		srv.listener.Close()
		srv.listener = nil
	}
	for c := range srv.conns {
		closeWithReset(c)
	}
}

// Up restarts the server, which is cold then.
func (srv *Server) Up() error {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.model.Restart(srv.now())
	srv.silent = false
	if srv.listener != nil {
		return nil
	}
	return srv.listen()
}

// Close takes the server down and waits for its goroutines.
func (srv *Server) Close() {
	srv.Down()
	srv.goroutines.Wait()
}

// Jobs returns the commands of a settings file, with a mean work of the given share of their class's target latency.
func Jobs(c *config.Config, share float64) map[string]Job {
	jobs := map[string]Job{}
	for _, k := range c.Commands {
		class := c.Classes[k.Class]
		jobs[k.Name] = Job{Work: share * class.TargetLatencyS, KeyAt: k.KeyIndex, KeyTTLS: class.KeyTTLS}
	}
	return jobs
}
