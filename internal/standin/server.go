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

// Job says what a command costs a box.
type Job struct {
	Work    float64 // mean seconds of a core of speed 1
	KeyAt   int     // the word that holds the submission key, 0: none
	KeyTTLS float64 // for so long repeats of a key are dropped
	Echo    int     // the word that the answer repeats, 0: none
}

// Arrival is what a box saw of one command.
type Arrival struct {
	At       time.Time
	Server   string
	Instance string // as it named itself by CLIENT SETNAME
	Words    []string
	Outcome  Outcome
	Executed bool // it ran here and now: no repeat, not turned away
}

// SubmissionKeys is the submission keys that the boxes of one room have seen.
type SubmissionKeys struct {
	mu      sync.Mutex
	records map[string]keyRecord
}

type keyRecord struct {
	at     time.Time
	doneAt time.Time
	reply  string
}

// NewSubmissionKeys returns an empty memory.
func NewSubmissionKeys() *SubmissionKeys { return &SubmissionKeys{records: map[string]keyRecord{}} }

// ServerOptions describe a Box.
type ServerOptions struct {
	Params     Params
	Jobs       map[string]Job // by command, in upper case
	Seed       uint64
	Keys       *SubmissionKeys        // shared by the boxes of a room
	OnArrival  func(Arrival)          // called for each command that is a job, one at a time
	Name       string                 // under which it is listed, "": its address
	Load       string                 // "answer": load rides on answers; else INFO tells it
	WorkFactor func(n uint64) float64 // times the usual work that the n-th request costs, nil for none
}

// Server is a stand-in of a queue box on a TCP address.
type Server struct {
	addr    string
	name    string
	options ServerOptions
	rng     *rand.Rand

	mu           sync.Mutex // covers all below, and the order of Saw
	model        *Model
	listener     net.Listener
	conns        map[net.Conn]struct{}
	silent       bool
	mutedCommand string // a command that stays unanswered
	jobCount     uint64
	startedAt    time.Time
	goroutines   sync.WaitGroup
}

// NewServer listens on an address; port 0 takes a free one.
func NewServer(addr string, opt ServerOptions) (*Server, error) {
	if opt.Keys == nil {
		opt.Keys = NewSubmissionKeys()
	}
	b := &Server{addr: addr, options: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), model: NewModel(opt.Params),
		conns: map[net.Conn]struct{}{}, startedAt: time.Now()}
	if err := b.listen(); err != nil {
		return nil, err
	}
	if b.name = opt.Name; b.name == "" {
		b.name = b.addr
	}
	return b, nil
}

func (srv *Server) listen() error {
	ln, err := net.Listen("tcp", srv.addr)
	if err != nil {
		return fmt.Errorf("box: %w", err)
	}
	srv.listener, srv.addr = ln, ln.Addr().String()
	srv.goroutines.Add(1)
	go srv.accept(ln)
	return nil
}

// Addr is the address that the box listens on.
func (srv *Server) Addr() string { return srv.addr }

func (srv *Server) now() float64 { return time.Since(srv.startedAt).Seconds() + 1 }

func (srv *Server) accept(ln net.Listener) {
	defer srv.goroutines.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		srv.mu.Lock()
		if srv.listener != ln { // taken down meanwhile
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

// reply is written at its time, or never while the box is silent.
type reply struct {
	sendAt  time.Time
	text    []byte
	discard bool
}

func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

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
		args, n, _, err := resp.Command(buf, nil, resp.DefaultLimits)
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
			r.text = resp.AppendMap(nil, version, 0)
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
			continue // the reader sees the end and closes replies
		}
	}
}

// job runs a command.
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

func (srv *Server) util() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return fmt.Sprintf("%.3f", srv.model.Util(srv.now()))
}

func (srv *Server) info() string {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	now := srv.now()
	return fmt.Sprintf("# Load\r\nutil:%.3f\r\nqueue:%d\r\n", srv.model.Util(now), srv.model.Waiting(now))
}

// Silent has the box read and run, but answer nothing, or answer again.
func (srv *Server) Silent(on bool) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.silent = on
}

// Mute leaves one command unanswered, and those behind it on its connection; "" for none.
func (srv *Server) Mute(command string) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.mutedCommand = command
}

// Slow makes all work take so many times as long.
func (srv *Server) Slow(factor float64) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.model.Slow(factor)
}

// Down takes the box from the network: connections break and none is taken.
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

// Up brings the box back, restarted and cold.
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

// Close takes the box down and waits for its goroutines.
func (srv *Server) Close() {
	srv.Down()
	srv.goroutines.Wait()
}

// Jobs are the commands of a settings file, each with a mean work of this share of its class's aim.
func Jobs(c *config.Config, share float64) map[string]Job {
	jobs := map[string]Job{}
	for _, k := range c.Commands {
		class := c.Classes[k.Class]
		jobs[k.Name] = Job{Work: share * class.TargetLatencyS, KeyAt: k.KeyAt, KeyTTLS: class.KeyTTLS}
	}
	return jobs
}
