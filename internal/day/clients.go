package day

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"cometpond/internal/audit"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// link is one client's connection to an instance. One command is out on it at a time.
type link struct {
	c       net.Conn
	replies chan string
	waiting atomic.Bool
	extra   atomic.Int64 // answers that nobody waited for
}

var errLogin = errors.New("login refused")

// dial opens a connection and logs in.
func dial(addr, client string) (*link, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	l := &link{c: c, replies: make(chan string, 1)}
	go l.read()
	over, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	text, err := l.ask(resp.AppendCommand(nil, "AUTH", client, daySecret), over.Done())
	if err == nil && text != "+OK\r\n" {
		err = errLogin
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return l, nil
}

func (l *link) close() { l.c.Close() }

// read hands replies on; it ends with the connection.
func (l *link) read() {
	defer close(l.replies)
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		n, err := l.c.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:n]...)
		for {
			n, err := resp.ReplyLength(buf, resp.DefaultLimits)
			if err != nil {
				break
			}
			if !l.waiting.CompareAndSwap(true, false) {
				l.extra.Add(1)
			} else {
				l.replies <- string(buf[:n])
			}
			buf = buf[n:]
		}
	}
}

var errNoAnswer = errors.New("no answer in time")

// ask sends a command and returns its reply, unless over ends first.
func (l *link) ask(command []byte, over <-chan struct{}) (string, error) {
	l.waiting.Store(true)
	if _, err := l.c.Write(command); err != nil {
		return "", err
	}
	select {
	case r, ok := <-l.replies:
		if !ok {
			return "", net.ErrClosed
		}
		return r, nil
	case <-over:
		return "", errNoAnswer
	}
}

// load is the clients of the day.
type load struct {
	f     *fleet
	rpcs  []*rpcClient // one an instance, nil without that front
	cum   []float64    // running sum of the clients' weights
	work  sync.WaitGroup
	limit chan struct{} // bounds requests under way

	mu     sync.Mutex
	rng    *rand.Rand
	idle   map[string][]*link // by client and instance
	tries  []audit.ClientAttempt
	factor float64 // times the usual load
	scan   float64
	flood  map[*client]float64 // requests a second on top
	homes  []int
}

func newLoad(f *fleet) *load {
	l := &load{f: f, rng: rand.New(rand.NewPCG(f.s.Seed, 4)), idle: map[string][]*link{}, factor: 1, flood: map[*client]float64{},
		limit: make(chan struct{}, 1<<14)}
	for _, addr := range f.rpcs {
		l.rpcs = append(l.rpcs, newRPCClient(addr))
	}
	sum := 0.0
	for _, c := range f.clients {
		sum += c.weight
		l.cum = append(l.cum, sum)
		l.homes = append(l.homes, c.home)
	}
	return l
}

// pick draws a client and its instance.
func (l *load) pick() (*client, int) {
	x := l.rng.Float64() * l.cum[len(l.cum)-1]
	i := 0
	for i < len(l.cum)-1 && l.cum[i] < x {
		i++
	}
	return l.f.clients[i], l.via(l.homes[i])
}

// via is the client's usual instance most times, else any.
func (l *load) via(home int) int {
	if l.rng.Float64() < 0.7 {
		return home
	}
	return l.rng.IntN(l.f.s.Instances)
}

// move turns a share of the clients to other instances.
func (l *load) move(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.homes {
		if l.rng.Float64() < share {
			l.homes[i] = (l.homes[i] + 1) % l.f.s.Instances
		}
	}
}

// run sends requests in an open loop until ctx is over, then waits for the last answers.
func (l *load) run(ctx context.Context) {
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		l.mu.Lock()
		flood := 0.0
		for _, r := range l.flood {
			flood += r
		}
		usual := l.f.s.Rate * l.factor
		all := usual*(1+l.scan) + flood
		next = next.Add(time.Duration(-math.Log(1-l.rng.Float64()) / all * 1e9))
		x := l.rng.Float64() * all
		c, via := l.pick()
		switch {
		case x < flood:
			for k, r := range l.flood {
				if x -= r; x < 0 {
					c, via = k, l.rng.IntN(l.f.s.Instances)
					break
				}
			}
		case x < flood+usual*l.scan:
			c = l.f.fresh[l.rng.IntN(len(l.f.fresh))]
		}
		class := l.rng.Float64()
		l.mu.Unlock()
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			continue
		}
		select {
		case l.limit <- struct{}{}:
		default:
			continue // more under way than this machine can hold: the load is bounded
		}
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			defer func() { <-l.limit }()
			l.request(fmt.Sprintf("%s.%d", c.name, n), c, via, class)
		}()
	}
	l.work.Wait()
	for _, r := range l.rpcs {
		r.close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, list := range l.idle {
		for _, k := range list {
			l.checkExtra(k)
			k.close()
		}
	}
}

// jobs are the commands of the day with their share of the requests.
var jobs = []struct {
	share float64
	name  string
	units float64
}{{0.05, "CL.THROTTLE", 1}, {0.50, "JOB.STATUS", 1}, {0.22, "IMAGE.FETCH", 1}, {0.18, "SIGN.SUBMIT", 2}, {0.05, "KEY.BURN", 2}}

// request is one request with its client's retries: after a refusal, or when no instance was reached or the
// connection broke; a safe one also after a failure, and an unsafe one never when it may have been taken.
// A submission keeps its key, and is repeated no later than the boxes remember it.
func (l *load) request(id string, c *client, via int, draw float64) {
	j := 0
	for j < len(jobs)-1 && draw >= jobs[j].share {
		draw -= jobs[j].share
		j++
	}
	job := jobs[j]
	class := policy.Class{Name: "limit", DeadlineS: 2.5}
	for _, k := range l.f.cfg.Commands {
		if k.Name == job.name {
			class = l.f.cfg.Classes[k.Class]
		}
	}
	began := time.Now()
	for n := range 3 {
		if n > 0 {
			pause := 100*time.Millisecond + time.Duration(l.float()*200e6)
			time.Sleep(pause)
			limit := class.DeadlineS
			if class.Effect == policy.Keyed {
				limit = class.KeyTTLS - 0.5
			}
			if time.Since(began).Seconds() > limit {
				return
			}
			if l.float() < 0.5 {
				via = int(l.float() * float64(l.f.s.Instances))
			}
		}
		t := l.try(fmt.Sprintf("%s.%d", id, n), id, c, via, job.name, job.units, class)
		again := false
		switch t.Outcome {
		case audit.Refused, audit.NotConnected:
			again = true
		case audit.ConnectionLost:
			again = class.Effect != policy.Unsafe
		case audit.Failed:
			again = class.Effect == policy.Safe
		}
		if !again || class.Name == "limit" {
			return
		}
	}
}

func (l *load) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// try sends one command and keeps what became of it.
func (l *load) try(id, request string, c *client, via int, name string, units float64, class policy.Class) audit.ClientAttempt {
	t := audit.ClientAttempt{ID: id, Client: c.name, Class: class.Name, Instance: via, Units: units, SentAt: time.Now()}
	blob := blobs[:l.size()]
	words := []string{name, id, c.name, blob}
	switch {
	case class.Name == "limit":
		words = []string{name, c.name, "10", "10", "1", strconv.Itoa(int(units))}
	case class.Effect == policy.Keyed:
		t.Key = request
		words = []string{name, request, c.name, id, blob}
	}
	within := time.Duration(class.DeadlineS*1e9) + time.Second
	if l.overRPC(id) {
		over, stop := l.f.patience(via, within)
		t.Outcome, t.WrongAnswer = l.rpcs[via].ask(c.name, words, class.Name == "limit", over)
		stop()
		t.EndedAt = time.Now()
	} else {
		l.overRESP(&t, c, via, words, within)
	}
	if t.Outcome == audit.ConnectionLost || t.Outcome == audit.Unanswered {
		t.Excused = l.f.excused(via, t.SentAt, t.EndedAt)
	}
	l.keep(t)
	return t
}

// overRPC tells which front a try goes through: with both, half of them each.
func (l *load) overRPC(id string) bool {
	switch l.f.opt.Front {
	case "grpc":
		return true
	case "both":
		return xxh3.HashString(id)%2 == 0
	}
	return false
}

// blobs is what arguments and replies of any size are made of.
var blobs = strings.Repeat("0123456789abcdef\r\n*1\r\n$4\r\nPING\r\n", 400<<10/32)[:400<<10]

// size draws the bytes of an argument: most are small, some are large.
func (l *load) size() int {
	x := l.float()
	if x < 0.9 {
		return int(x * 200)
	}
	return int(math.Exp((x - 0.9) * 10 * math.Log(float64(len(blobs)))))
}

// isAnswer tells whether a text is a box's answer to a command. To a repeat of a key it answers what it did first,
// so that only the beginning is known.
func isAnswer(text string, words []string, keyed bool) bool {
	head := words[0] + " done " + words[1] + " "
	if keyed {
		return strings.HasPrefix(text, head)
	}
	return text == head+words[3]
}

// overRESP sends a try's command and reads its answer.
func (l *load) overRESP(t *audit.ClientAttempt, c *client, via int, words []string, within time.Duration) {
	k, err := l.take(c, via)
	if err != nil {
		t.Outcome, t.EndedAt = audit.NotConnected, time.Now()
		return
	}
	t.SentAt = time.Now()
	over, stop := l.f.patience(via, within)
	reply, err := k.ask(resp.AppendCommand(nil, words...), over)
	stop()
	t.EndedAt = time.Now()
	switch {
	case errors.Is(err, errNoAnswer):
		t.Outcome = audit.Unanswered
	case err != nil:
		t.Outcome = audit.ConnectionLost
	case strings.HasPrefix(reply, "-REFUSED"):
		t.Outcome = audit.Refused
	case strings.HasPrefix(reply, "-"):
		t.Outcome = audit.Failed
	case t.Class == "limit" && strings.HasPrefix(reply, "*5\r\n:0"):
		t.Outcome = audit.Admitted
	case t.Class == "limit":
		t.Outcome = audit.Limited
	default:
		t.Outcome = audit.Served
		n, _ := resp.ReplyLength([]byte(reply), resp.DefaultLimits)
		t.WrongAnswer = n != len(reply) || !isAnswer(resp.Text([]byte(reply), resp.DefaultLimits), words, t.Key != "")
	}
	if err != nil {
		k.close()
		return
	}
	t.ExtraAnswers = int(k.extra.Swap(0))
	l.give(c, via, k)
}

func (l *load) keep(t audit.ClientAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
}

// take returns an idle connection of the client to the instance, or a new one.
func (l *load) take(c *client, via int) (*link, error) {
	key := c.name + "/" + strconv.Itoa(via)
	l.mu.Lock()
	for list := l.idle[key]; len(list) > 0; list = l.idle[key] {
		k := list[len(list)-1]
		l.idle[key] = list[:len(list)-1]
		select {
		case _, ok := <-k.replies:
			if !ok { // ended while it was idle
				k.close()
				continue
			}
		default:
		}
		l.mu.Unlock()
		return k, nil
	}
	l.mu.Unlock()
	return dial(l.f.fronts[via].Addr(), c.name)
}

func (l *load) give(c *client, via int, k *link) {
	key := c.name + "/" + strconv.Itoa(via)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[key] = append(l.idle[key], k)
}

// checkExtra charges answers that came on an idle connection to the last try.
func (l *load) checkExtra(k *link) {
	if n := k.extra.Load(); n > 0 && len(l.tries) > 0 {
		l.tries[len(l.tries)-1].ExtraAnswers += int(n)
	}
}
