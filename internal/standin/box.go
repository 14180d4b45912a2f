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
	mu   sync.Mutex
	seen map[string]remembered
}

type remembered struct {
	at     time.Time
	doneAt time.Time
	reply  string
}

// NewSubmissionKeys returns an empty memory.
func NewSubmissionKeys() *SubmissionKeys { return &SubmissionKeys{seen: map[string]remembered{}} }

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
	addr string
	name string
	opt  ServerOptions
	rng  *rand.Rand

	mu     sync.Mutex // covers all below, and the order of Saw
	model  *Model
	ln     net.Listener
	conns  map[net.Conn]struct{}
	silent bool
	mute   string // a command that stays unanswered
	jobs   uint64
	base   time.Time
	work   sync.WaitGroup
}

// NewServer listens on an address; port 0 takes a free one.
func NewServer(addr string, opt ServerOptions) (*Server, error) {
	if opt.Keys == nil {
		opt.Keys = NewSubmissionKeys()
	}
	b := &Server{addr: addr, opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), model: NewModel(opt.Params),
		conns: map[net.Conn]struct{}{}, base: time.Now()}
	if err := b.listen(); err != nil {
		return nil, err
	}
	if b.name = opt.Name; b.name == "" {
		b.name = b.addr
	}
	return b, nil
}

func (b *Server) listen() error {
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		return fmt.Errorf("box: %w", err)
	}
	b.ln, b.addr = ln, ln.Addr().String()
	b.work.Add(1)
	go b.accept(ln)
	return nil
}

// Addr is the address that the box listens on.
func (b *Server) Addr() string { return b.addr }

func (b *Server) now() float64 { return time.Since(b.base).Seconds() + 1 }

func (b *Server) accept(ln net.Listener) {
	defer b.work.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.ln != ln { // taken down meanwhile
			b.mu.Unlock()
			reset(c)
			continue
		}
		b.conns[c] = struct{}{}
		b.work.Add(2)
		b.mu.Unlock()
		replies := make(chan reply, 1024)
		go b.read(c, replies)
		go b.write(c, replies)
	}
}

// reply is written at its time, or never while the box is silent.
type reply struct {
	at   time.Time
	text []byte
	mute bool
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (b *Server) read(c net.Conn, replies chan<- reply) {
	defer b.work.Done()
	defer close(replies)
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
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
			r.text = resp.AppendBulk(nil, b.info())
		default:
			r = b.job(name, words)
			if version == 3 && b.opt.Load == "answer" {
				r.text = append(resp.AppendBulk(resp.AppendBulk([]byte("|1\r\n"), "util"), b.util()), r.text...)
			}
		}
		replies <- r
	}
}

func (b *Server) write(c net.Conn, replies <-chan reply) {
	defer b.work.Done()
	for r := range replies {
		if d := time.Until(r.at); d > 0 {
			time.Sleep(d)
		}
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent || r.mute {
			continue
		}
		if _, err := c.Write(r.text); err != nil && !errors.Is(err, io.EOF) {
			continue // the reader sees the end and closes replies
		}
	}
}

// job runs a command.
func (b *Server) job(instance string, words []string) reply {
	j, known := b.opt.Jobs[words[0]]
	if !known || j.KeyAt >= len(words) {
		return reply{text: resp.AppendError(nil, "ERR unknown command '"+words[0]+"'")}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at := time.Now()
	a := Arrival{At: at, Server: b.name, Instance: instance, Words: words}
	r := b.run(at, j, words, &a)
	r.mute = words[0] == b.mute
	if b.opt.OnArrival != nil {
		b.opt.OnArrival(a)
	}
	return r
}

func (b *Server) run(at time.Time, j Job, words []string, a *Arrival) reply {
	mem := b.opt.Keys
	key := ""
	if j.KeyAt > 0 {
		key = words[j.KeyAt]
		mem.mu.Lock()
		defer mem.mu.Unlock()
		if seen, ok := mem.seen[key]; ok && at.Sub(seen.at).Seconds() <= j.KeyTTLS {
			return reply{at: seen.doneAt, text: []byte(seen.reply)}
		}
	}
	work := j.Work * math.Max(0.2, b.rng.ExpFloat64()*0.5+0.5)
	if b.jobs++; b.opt.WorkFactor != nil {
		work *= b.opt.WorkFactor(b.jobs)
	}
	done, ruling := b.model.Offer(b.now(), work)
	a.Outcome = ruling
	switch ruling {
	case QueueFull:
		return reply{text: resp.AppendError(nil, "BUSY the queue is full")}
	case Crashed:
		b.silent = true
		return reply{}
	}
	a.Executed = true
	doneAt := b.base.Add(time.Duration((done - 1) * 1e9))
	text := strings.Join([]string{words[0], "done", words[min(1, len(words)-1)]}, " ")
	if j.Echo > 0 && j.Echo < len(words) {
		text = string(resp.AppendBulk(nil, text+" "+words[j.Echo]))
	} else {
		text = string(resp.AppendSimple(nil, text))
	}
	if key != "" {
		mem.seen[key] = remembered{at, doneAt, text}
	}
	return reply{at: doneAt, text: []byte(text)}
}

func (b *Server) util() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%.3f", b.model.Util(b.now()))
}

func (b *Server) info() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	return fmt.Sprintf("# Load\r\nutil:%.3f\r\nqueue:%d\r\n", b.model.Util(now), b.model.Waiting(now))
}

// Silent has the box read and run, but answer nothing, or answer again.
func (b *Server) Silent(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = on
}

// Mute leaves one command unanswered, and those behind it on its connection; "" for none.
func (b *Server) Mute(command string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mute = command
}

// Slow makes all work take so many times as long.
func (b *Server) Slow(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model.Slow(factor)
}

// Down takes the box from the network: connections break and none is taken.
func (b *Server) Down() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ln != nil {
		b.ln.Close()
		b.ln = nil
	}
	for c := range b.conns {
		reset(c)
	}
}

// Up brings the box back, restarted and cold.
func (b *Server) Up() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.model.Restart(b.now())
	b.silent = false
	if b.ln != nil {
		return nil
	}
	return b.listen()
}

// Close takes the box down and waits for its goroutines.
func (b *Server) Close() {
	b.Down()
	b.work.Wait()
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
