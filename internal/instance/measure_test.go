package instance

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/config"
	"cometpond/internal/resp"
	"cometpond/internal/standin"
	"cometpond/policy"
)

// The benchmarks behind docs/measurements.md. Each reports a ratio of two values measured in one run:
//
//	go test -run xxx -bench . -benchtime 1x ./internal/instance

// unlimitedConfig returns the configuration of one instance with n clients on a plan so large that no request is refused.
func unlimitedConfig(tb testing.TB, n int, servers []string) *config.Config {
	tb.Helper()
	c, err := config.Parse("wide", unlimitedSettings(n, servers))
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// unlimitedSettings returns the settings text for unlimitedConfig.
func unlimitedSettings(n int, servers []string) string {
	var b strings.Builder
	fmt.Fprint(&b, `(ingress (me 0) (zone a) (listen "127.0.0.1:0"))
(front (connections 20000) (pipeline 4096) (output 67108864))
(classes (class job-status (aim 1s) (deadline 2.5s) (worth 3) (effect safe)))
(commands (command JOB.STATUS (class job-status) (arity 2)))
(plans (plan wide (rate 16000) (burst 8000)))
(boxes`)
	for _, a := range servers {
		fmt.Fprintf(&b, " (box %q (zone a))", a)
	}
	fmt.Fprint(&b, ")\n(clients")
	sum := config.HashSecret("s")
	for i := range n {
		fmt.Fprintf(&b, "\n (client c%d (plan wide) (secret-sha256 \"%x\"))", i, sum)
	}
	fmt.Fprint(&b, ")")
	return b.String()
}

// startGateway starts a gateway for the duration of the benchmark and returns it with its RESP address.
func startGateway(tb testing.TB, cfg *config.Config) (*Instance, string) {
	tb.Helper()
	in, err := Start(context.Background(), cfg, Options{Log: zerolog.Nop(), Seed: 1})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { in.Stop(context.Background()) })
	a := in.Addr()
	return in, a.String()
}

// login opens a connection to the gateway and authenticates as client.
func login(tb testing.TB, addr, client string) net.Conn {
	tb.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := c.Write(resp.AppendCommand(nil, "AUTH", client, "s")); err != nil {
		tb.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		tb.Fatal(err)
	}
	return c
}

// moduleDecisionsPerS calls the policy module in a loop, without a gateway around it, and returns its decisions a
// second.
func moduleDecisionsPerS(tb testing.TB, clients int, span time.Duration) float64 {
	output := &discardOutput{}
	settings := unlimitedConfig(tb, clients, []string{"127.0.0.1:1"}).Settings()
	gateway, err := policy.New(settings, 1, 1000, output)
	if err != nil {
		tb.Fatal(err)
	}
	names, ids := make([]string, clients), make([]byte, 8)
	for i := range names {
		names[i] = fmt.Sprint("c", i)
	}
	n, begin, lastTimer := 0, time.Now(), 0.0
	for now := 0.0; now < span.Seconds(); now = time.Since(begin).Seconds() {
		if now > lastTimer+0.02 {
			lastTimer = now
			gateway.Timer(1000+now, 1)
		}
		for range 512 { // the core too reads the clock once for up to 512 requests
			n++
			for i := range ids {
				ids[i] = byte(n >> (8 * i))
			}
			gateway.Request(1000+now, policy.Request{ID: string(ids), Class: "job-status", Plan: "wide", Customer: names[n%clients],
				DeadlineAt: 1002.5 + now, GatewayCount: 1, Units: 1, QuotaOnly: true})
		}
	}
	return float64(n) / time.Since(begin).Seconds()
}

// discardOutput ignores every action of the policy module.
type discardOutput struct{}

func (discardOutput) Send(string, string, policy.Timing)     {}
func (discardOutput) Refuse(string, float64, policy.Refusal) {}
func (discardOutput) Fail(string)                            {}
func (discardOutput) Admit(string)                           {}
func (discardOutput) Cancel(string, int)                     {}
func (discardOutput) SetTimer(uint64, float64)               {}
func (discardOutput) Probe(string)                           {}
func (discardOutput) SendToPeer(int, []byte)                 {}
func (discardOutput) Log(string)                             {}

// pipelinedAnswersPerS keeps connections busy with a command, writing depth commands at a time, and returns the answers
// a second of all connections together. mark is a one-byte text that occurs once in each answer.
func pipelinedAnswersPerS(tb testing.TB, addr string, conns, depth int, command []byte, mark string, span time.Duration) float64 {
	var workers sync.WaitGroup
	counts := make([]int, conns)
	stop := time.Now().Add(span)
	begin := time.Now()
	for i := range conns {
		c := login(tb, addr, fmt.Sprint("c", i))
		workers.Add(1)
		go func() {
			defer workers.Done()
			defer c.Close()
			batch := bytes.Repeat(command, depth)
			buf := make([]byte, 64<<10)
			inFlight := 0
			for time.Now().Before(stop) {
				for inFlight <= depth && inFlight < 2*depth { // keeps the total in flight below the size of the core's queue
					if _, err := c.Write(batch); err != nil {
						return
					}
					inFlight += depth
					if depth == 1 {
						break
					}
				}
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				answers := bytes.Count(buf[:n], []byte(mark)) // a mark of one byte cannot be split between two reads
				counts[i] += answers
				inFlight -= answers
			}
		}()
	}
	workers.Wait()
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / time.Since(begin).Seconds()
}

var throttleCommand = resp.AppendCommand(nil, "CL.THROTTLE", "k", "15", "30", "60")

// startServers starts three test servers whose jobs take work seconds of one core on average, and returns
// their addresses.
func startServers(tb testing.TB, work float64) []string {
	var list []string
	for i := range 3 {
		params := standin.DefaultParams
		params.Cores, params.QueueLength = 64, 100000
		server, err := standin.NewServer("127.0.0.1:0", standin.ServerOptions{Params: params, Seed: uint64(i),
			Jobs: map[string]standin.Job{"JOB.STATUS": {Work: work}}})
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(server.Close)
		list = append(list, server.Addr())
	}
	return list
}

// BenchmarkThrottlePipelined compares pipelined CL.THROTTLE from several connections with the policy module alone
// (measurement c).
func BenchmarkThrottlePipelined(b *testing.B) {
	for b.Loop() {
		direct := moduleDecisionsPerS(b, 64, 2*time.Second)
		_, addr := startGateway(b, unlimitedConfig(b, 64, []string{"127.0.0.1:1"}))
		served := pipelinedAnswersPerS(b, addr, 32, 250, throttleCommand, "*", 4*time.Second)
		b.ReportMetric(served, "answers/s")
		b.ReportMetric(direct, "module/s")
		b.ReportMetric(served/direct, "ratio")
	}
}

// BenchmarkThrottleOneByOne compares CL.THROTTLE, one at a time from 50 connections, with PING on the same front
// (measurement c).
func BenchmarkThrottleOneByOne(b *testing.B) {
	for b.Loop() {
		_, addr := startGateway(b, unlimitedConfig(b, 64, []string{"127.0.0.1:1"}))
		var pings, asks float64
		for range 3 { // alternating, so that load changes of the machine affect both
			pings += pipelinedAnswersPerS(b, addr, 50, 1, []byte("PING\r\n"), "+", time.Second) / 3
			asks += pipelinedAnswersPerS(b, addr, 50, 1, throttleCommand, "*", time.Second) / 3
		}
		b.ReportMetric(pings, "ping/s")
		b.ReportMetric(asks, "throttle/s")
		b.ReportMetric(asks/pings, "ratio")
	}
}

// BenchmarkLatencyAdded measures the latency that the gateway adds to a direct request to a server, at 1,000 requests a
// second (measurement b). The servers answer at once, so that only the path is measured.
func BenchmarkLatencyAdded(b *testing.B) {
	for b.Loop() {
		list := startServers(b, 0.000001)
		_, addr := startGateway(b, unlimitedConfig(b, 64, list))
		direct := measureLatency(b, func(i int) (string, string) { return list[i%3], "" })
		_ = measureLatency(b, func(i int) (string, string) { return addr, fmt.Sprint("c", i%64) }) // opens the connections
		through := measureLatency(b, func(i int) (string, string) { return addr, fmt.Sprint("c", i%64) })
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 0.5}, {"p99", 0.99}} {
			d, t := quantile(direct, q.at), quantile(through, q.at)
			b.ReportMetric(float64(d.Microseconds()), q.name+"-direct-us")
			b.ReportMetric(float64(t.Microseconds()), q.name+"-through-us")
			b.ReportMetric(float64((t - d).Microseconds()), q.name+"-added-us")
		}
	}
}

// measureLatency sends 1,000 requests a second over 20 connections for 5 s, spaced evenly on each connection, and
// returns the latencies.
func measureLatency(tb testing.TB, where func(i int) (addr, client string)) []time.Duration {
	const conns, per = 20, 250
	var mu sync.Mutex
	var all []time.Duration
	var work sync.WaitGroup
	for i := range conns {
		addr, client := where(i)
		var c net.Conn
		if client != "" {
			c = login(tb, addr, client)
		} else {
			var err error
			if c, err = net.Dial("tcp", addr); err != nil {
				tb.Fatal(err)
			}
		}
		work.Add(1)
		go func() {
			defer work.Done()
			defer c.Close()
			command := resp.AppendCommand(nil, "JOB.STATUS", "1")
			buf := make([]byte, 256)
			var mine []time.Duration
			begin := time.Now().Add(time.Duration(i) * time.Millisecond)
			for n := range per {
				due := begin.Add(time.Duration(n) * conns * time.Millisecond)
				time.Sleep(time.Until(due))
				sent := time.Now()
				if _, err := c.Write(command); err != nil {
					return
				}
				if _, err := c.Read(buf); err != nil {
					return
				}
				mine = append(mine, time.Since(sent))
			}
			mu.Lock()
			all = append(all, mine...)
			mu.Unlock()
		}()
	}
	work.Wait()
	return all
}

// quantile sorts list and returns its quantile q.
func quantile(list []time.Duration, q float64) time.Duration {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// BenchmarkMemory measures the memory of 9,000 idle connections, whose two ends are both in this process with its limit
// of 20,000 file descriptors, and of 100,000 customers after one request each (measurement d).
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		heap := func() float64 {
			runtime.GC()
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc + m.StackInuse)
		}
		cfg := unlimitedConfig(b, 100_000, []string{"127.0.0.1:1"})
		empty := heap()
		in, addr := startGateway(b, cfg)
		before := heap()
		b.ReportMetric((before-empty)/100_000, "B/client-listed")
		conns := make([]net.Conn, 9_000)
		for i := range conns {
			conns[i] = login(b, addr, fmt.Sprint("c", i))
		}
		idle := heap()
		b.ReportMetric((idle-before)/float64(len(conns)), "B/connection") // includes the client's end
		for _, c := range conns {
			c.Close()
		}
		for in.front.Counts().Open > 0 {
			time.Sleep(time.Millisecond)
		}
		before = heap()
		for i := 0; i < 100_000; i += 500 {
			c := login(b, addr, fmt.Sprint("c", i))
			for k := i; k < i+500; k++ {
				batch := resp.AppendCommand(nil, "AUTH", fmt.Sprint("c", k), "s")
				batch = append(batch, throttleCommand...)
				if _, err := c.Write(batch); err != nil {
					b.Fatal(err)
				}
				for n := 0; n < 2; {
					buf := make([]byte, 256)
					m, err := c.Read(buf)
					if err != nil {
						b.Fatal(err)
					}
					n += bytes.Count(buf[:m], []byte("+OK")) + bytes.Count(buf[:m], []byte("*5"))
				}
			}
			c.Close()
		}
		b.ReportMetric((heap()-before)/100_000, "B/customer")
	}
}

// BenchmarkCPU measures the CPU time a request of the whole process; docs/measurements.md explains how to profile its parts
// (measurement e).
func BenchmarkCPU(b *testing.B) {
	list := startServers(b, 0.000001)
	_, addr := startGateway(b, unlimitedConfig(b, 64, list))
	cpuMicros := func() float64 {
		var r syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
			b.Fatal(err)
		}
		return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e3
	}
	for b.Loop() {
		start := cpuMicros()
		served := pipelinedAnswersPerS(b, addr, 16, 1, resp.AppendCommand(nil, "JOB.STATUS", "1"), "+", 3*time.Second) * 3
		mid := cpuMicros()
		limits := pipelinedAnswersPerS(b, addr, 16, 1, throttleCommand, "*", 3*time.Second) * 3
		b.ReportMetric((mid-start)/served, "us/work") // includes client and server, which run in this process too
		b.ReportMetric((cpuMicros()-mid)/limits, "us/limit")
	}
}
