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

// clientConn is a client's connection to an instance, with one command in flight at a time.
type clientConn struct {
	conn         net.Conn
	replies      chan string
	waiting      atomic.Bool
	extraAnswers atomic.Int64 // answers without an outstanding command
}

var errLogin = errors.New("login refused")

// dial opens a connection to an instance and logs the client in.
func dial(addr, client string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{conn: conn, replies: make(chan string, 1)}
	go cc.read()
	timeout, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	text, err := cc.ask(resp.AppendCommand(nil, "AUTH", client, clientSecret), timeout.Done())
	if err == nil && text != "+OK\r\n" {
		err = errLogin
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return cc, nil
}

func (cc *clientConn) close() { cc.conn.Close() }

// read passes replies to ask until the connection ends.
func (cc *clientConn) read() {
	defer close(cc.replies)
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		n, err := cc.conn.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:n]...)
		for {
			n, err := resp.ReplyLength(buf, resp.DefaultLimits)
			if err != nil {
				break
			}
			if !cc.waiting.CompareAndSwap(true, false) {
				cc.extraAnswers.Add(1)
			} else {
				cc.replies <- string(buf[:n])
			}
			buf = buf[n:]
		}
	}
}

var errNoAnswer = errors.New("no answer in time")

// ask sends a command and returns its reply, or errNoAnswer if the channel over is closed first.
func (cc *clientConn) ask(command []byte, timeout <-chan struct{}) (string, error) {
	cc.waiting.Store(true)
	if _, err := cc.conn.Write(command); err != nil {
		return "", err
	}
	select {
	case r, ok := <-cc.replies:
		if !ok {
			return "", net.ErrClosed
		}
		return r, nil
	case <-timeout:
		return "", errNoAnswer
	}
}

// loadGenerator sends the requests of all clients of a scenario.
type loadGenerator struct {
	fleet             *fleet
	rpcClients        []*rpcClient // one for each instance, empty without the gRPC front
	cumulativeWeights []float64    // running sum of the clients' weights
	pending           sync.WaitGroup
	inFlight          chan struct{} // bounds the requests in flight

	mu            sync.Mutex
	rng           *rand.Rand
	idle          map[string][]*clientConn // by client and instance
	attempts      []audit.ClientAttempt
	loadFactor    float64 // multiple of the usual load
	scanShare     float64
	floodRates    map[*client]float64 // additional requests per second
	homeInstances []int
}

func newLoadGenerator(fl *fleet) *loadGenerator {
	load := &loadGenerator{fleet: fl, rng: rand.New(rand.NewPCG(fl.script.Seed, 4)), idle: map[string][]*clientConn{},
		loadFactor: 1, floodRates: map[*client]float64{},
		inFlight: make(chan struct{}, 1<<14)}
	for _, addr := range fl.rpcAddrs {
		load.rpcClients = append(load.rpcClients, newRPCClient(addr))
	}
	sum := 0.0
	for _, c := range fl.clients {
		sum += c.weight
		load.cumulativeWeights = append(load.cumulativeWeights, sum)
		load.homeInstances = append(load.homeInstances, c.homeInstance)
	}
	return load
}

// pickClient draws a client and the instance to which it sends a request.
func (load *loadGenerator) pickClient() (*client, int) {
	draw := load.rng.Float64() * load.cumulativeWeights[len(load.cumulativeWeights)-1]
	i := 0
	for i < len(load.cumulativeWeights)-1 && load.cumulativeWeights[i] < draw {
		i++
	}
	return load.fleet.clients[i], load.chooseInstance(load.homeInstances[i])
}

// chooseInstance returns the client's home instance with a probability of 70%, else any instance.
func (load *loadGenerator) chooseInstance(home int) int {
	if load.rng.Float64() < 0.7 {
		return home
	}
	return load.rng.IntN(load.fleet.script.Instances)
}

// moveClients changes the home instance of a share of the clients.
func (load *loadGenerator) moveClients(share float64) {
	load.mu.Lock()
	defer load.mu.Unlock()
	for i := range load.homeInstances {
		if load.rng.Float64() < share {
			load.homeInstances[i] = (load.homeInstances[i] + 1) % load.fleet.script.Instances
		}
	}
}

// run sends requests in an open loop until ctx is done, then waits for the last answers.
func (load *loadGenerator) run(ctx context.Context) {
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		load.mu.Lock()
		floodRate := 0.0
		for _, r := range load.floodRates {
			floodRate += r
		}
		usualRate := load.fleet.script.Rate * load.loadFactor
		totalRate := usualRate*(1+load.scanShare) + floodRate
		next = next.Add(time.Duration(-math.Log(1-load.rng.Float64()) / totalRate * 1e9))
		draw := load.rng.Float64() * totalRate
		c, instance := load.pickClient()
		switch {
		case draw < floodRate:
			for conn, r := range load.floodRates {
				if draw -= r; draw < 0 {
					c, instance = conn, load.rng.IntN(load.fleet.script.Instances)
					break
				}
			}
		case draw < floodRate+usualRate*load.scanShare:
			c = load.fleet.newClients[load.rng.IntN(len(load.fleet.newClients))]
		}
		class := load.rng.Float64()
		load.mu.Unlock()
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			continue
		}
		select {
		case load.inFlight <- struct{}{}:
		default:
			continue // the limit of requests in flight that this machine can hold is reached
		}
		load.pending.Add(1)
		go func() {
			defer load.pending.Done()
			defer func() { <-load.inFlight }()
			load.sendWithRetries(fmt.Sprintf("%s.%d", c.name, n), c, instance, class)
		}()
	}
	load.pending.Wait()
	for _, r := range load.rpcClients {
		r.close()
	}
	load.mu.Lock()
	defer load.mu.Unlock()
	for _, list := range load.idle {
		for _, conn := range list {
			load.countExtraAnswers(conn)
			conn.close()
		}
	}
}

// commandMix are the commands of a scenario with their shares of the requests.
var commandMix = []struct {
	share float64
	name  string
	units float64
}{{0.05, "CL.THROTTLE", 1}, {0.50, "JOB.STATUS", 1}, {0.22, "IMAGE.FETCH", 1}, {0.18, "SIGN.SUBMIT", 2}, {0.05, "KEY.BURN", 2}}

// sendWithRetries sends one request with its client retries: after a refusal, or if no instance was reached or the
// connection was lost; a safe request also after a failure, an unsafe one never if it may have been accepted.
// A keyed request keeps its key and is repeated only as long as the servers remember the key.
func (load *loadGenerator) sendWithRetries(id string, c *client, instance int, draw float64) {
	index := 0
	for index < len(commandMix)-1 && draw >= commandMix[index].share {
		draw -= commandMix[index].share
		index++
	}
	command := commandMix[index]
	class := policy.Class{Name: "limit", DeadlineS: 2.5}
	for _, configured := range load.fleet.config.Commands {
		if configured.Name == command.name {
			class = load.fleet.config.Classes[configured.Class]
		}
	}
	start := time.Now()
	for retry := range 3 {
		if retry > 0 {
			pause := 100*time.Millisecond + time.Duration(load.randomFloat()*200e6)
			time.Sleep(pause)
			limitS := class.DeadlineS
			if class.Effect == policy.Keyed {
				limitS = class.KeyTTLS - 0.5
			}
			if time.Since(start).Seconds() > limitS {
				return
			}
			if load.randomFloat() < 0.5 {
				instance = int(load.randomFloat() * float64(load.fleet.script.Instances))
			}
		}
		attempt := load.sendAttempt(fmt.Sprintf("%s.%d", id, retry), id, c, instance, command.name, command.units, class)
		retriable := false
		switch attempt.Outcome {
		case audit.Refused, audit.NotConnected:
			retriable = true
		case audit.ConnectionLost:
			retriable = class.Effect != policy.Unsafe
		case audit.Failed:
			retriable = class.Effect == policy.Safe
		}
		if !retriable || class.Name == "limit" {
			return
		}
	}
}

func (load *loadGenerator) randomFloat() float64 {
	load.mu.Lock()
	defer load.mu.Unlock()
	return load.rng.Float64()
}

// sendAttempt sends one command and records its outcome.
func (load *loadGenerator) sendAttempt(id, request string, c *client, instance int, name string, units float64,
	class policy.Class) audit.ClientAttempt {
	attempt := audit.ClientAttempt{ID: id, Client: c.name, Class: class.Name, Instance: instance, Units: units, SentAt: time.Now()}
	argument := payload[:load.argumentSize()]
	words := []string{name, id, c.name, argument}
	switch {
	case class.Name == "limit":
		words = []string{name, c.name, "10", "10", "1", strconv.Itoa(int(units))}
	case class.Effect == policy.Keyed:
		attempt.Key = request
		words = []string{name, request, c.name, id, argument}
	}
	within := time.Duration(class.DeadlineS*1e9) + time.Second
	if load.usesRPC(id) {
		timeout, stop := load.fleet.answerTimeout(instance, within)
		attempt.Outcome, attempt.WrongAnswer = load.rpcClients[instance].ask(c.name, words, class.Name == "limit", timeout)
		stop()
		attempt.EndedAt = time.Now()
	} else {
		load.sendRESP(&attempt, c, instance, words, within)
	}
	if attempt.Outcome == audit.ConnectionLost || attempt.Outcome == audit.Unanswered {
		attempt.Excused = load.fleet.wasDown(instance, attempt.SentAt, attempt.EndedAt)
	}
	load.record(attempt)
	return attempt
}

// usesRPC reports whether an attempt uses the gRPC front. With both fronts, half of the attempts use each.
func (load *loadGenerator) usesRPC(id string) bool {
	switch load.fleet.options.Front {
	case "grpc":
		return true
	case "both":
		return xxh3.HashString(id)%2 == 0
	}
	return false
}

// payload is the text from which arguments of any size are cut. It contains RESP commands, which a wrong parser
// would take for input.
var payload = strings.Repeat("0123456789abcdef\r\n*1\r\n$4\r\nPING\r\n", 400<<10/32)[:400<<10]

// argumentSize draws the size of an argument in bytes: most are small, some are large.
func (load *loadGenerator) argumentSize() int {
	x := load.randomFloat()
	if x < 0.9 {
		return int(x * 200)
	}
	return int(math.Exp((x - 0.9) * 10 * math.Log(float64(len(payload)))))
}

// isAnswer reports whether a text is a server's answer to a command. A repeat of a key receives the answer to the
// first request, so that only the beginning of the text is known.
func isAnswer(text string, words []string, keyed bool) bool {
	head := words[0] + " done " + words[1] + " "
	if keyed {
		return strings.HasPrefix(text, head)
	}
	return text == head+words[3]
}

// sendRESP sends an attempt's command over RESP and reads its answer.
func (load *loadGenerator) sendRESP(attempt *audit.ClientAttempt, c *client, instance int, words []string, within time.Duration) {
	conn, err := load.takeConn(c, instance)
	if err != nil {
		attempt.Outcome, attempt.EndedAt = audit.NotConnected, time.Now()
		return
	}
	attempt.SentAt = time.Now()
	timeout, stop := load.fleet.answerTimeout(instance, within)
	reply, err := conn.ask(resp.AppendCommand(nil, words...), timeout)
	stop()
	attempt.EndedAt = time.Now()
	switch {
	case errors.Is(err, errNoAnswer):
		attempt.Outcome = audit.Unanswered
	case err != nil:
		attempt.Outcome = audit.ConnectionLost
	case strings.HasPrefix(reply, "-REFUSED"):
		attempt.Outcome = audit.Refused
	case strings.HasPrefix(reply, "-"):
		attempt.Outcome = audit.Failed
	case attempt.Class == "limit" && strings.HasPrefix(reply, "*5\r\n:0"):
		attempt.Outcome = audit.Admitted
	case attempt.Class == "limit":
		attempt.Outcome = audit.Limited
	default:
		attempt.Outcome = audit.Served
		n, _ := resp.ReplyLength([]byte(reply), resp.DefaultLimits)
		attempt.WrongAnswer = n != len(reply) || !isAnswer(resp.Text([]byte(reply), resp.DefaultLimits), words, attempt.Key != "")
	}
	if err != nil {
		conn.close()
		return
	}
	attempt.ExtraAnswers = int(conn.extraAnswers.Swap(0))
	load.returnConn(c, instance, conn)
}

func (load *loadGenerator) record(attempt audit.ClientAttempt) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.attempts = append(load.attempts, attempt)
}

// takeConn returns an idle connection of the client to the instance, or opens a new one.
func (load *loadGenerator) takeConn(c *client, instance int) (*clientConn, error) {
	key := c.name + "/" + strconv.Itoa(instance)
	load.mu.Lock()
	for list := load.idle[key]; len(list) > 0; list = load.idle[key] {
		conn := list[len(list)-1]
		load.idle[key] = list[:len(list)-1]
		select {
		case _, ok := <-conn.replies:
			if !ok { // the connection ended while it was idle
				conn.close()
				continue
			}
		default:
		}
		load.mu.Unlock()
		return conn, nil
	}
	load.mu.Unlock()
	return dial(load.fleet.ingressStreams[instance].Addr(), c.name)
}

func (load *loadGenerator) returnConn(c *client, instance int, conn *clientConn) {
	key := c.name + "/" + strconv.Itoa(instance)
	load.mu.Lock()
	defer load.mu.Unlock()
	load.idle[key] = append(load.idle[key], conn)
}

// countExtraAnswers attributes answers that arrived on an idle connection to the last attempt.
func (load *loadGenerator) countExtraAnswers(conn *clientConn) {
	if n := conn.extraAnswers.Load(); n > 0 && len(load.attempts) > 0 {
		load.attempts[len(load.attempts)-1].ExtraAnswers += int(n)
	}
}
