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

// The measurements of docs/measurements.md. Each is a ratio of two things taken in one run:
//
//	go test -run xxx -bench . -benchtime 1x ./internal/instance

// wide is a settings file of one instance with n clients on a plan that refuses nobody.
func wide(tb testing.TB, n int, boxes []string) *config.Config {
	tb.Helper()
	c, err := config.Parse("wide", settingsOf(n, boxes))
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

func settingsOf(n int, boxes []string) string {
	var b strings.Builder
	fmt.Fprint(&b, `(ingress (me 0) (zone a) (listen "127.0.0.1:0"))
(front (connections 20000) (pipeline 4096) (output 67108864))
(classes (class job-status (aim 1s) (deadline 2.5s) (worth 3) (effect safe)))
(commands (command JOB.STATUS (class job-status) (arity 2)))
(plans (plan wide (rate 16000) (burst 8000)))
(boxes`)
	for _, a := range boxes {
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

func run(tb testing.TB, cfg *config.Config) (*Instance, string) {
	tb.Helper()
	in, err := Start(context.Background(), cfg, Options{Log: zerolog.Nop(), Seed: 1})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { in.Stop(context.Background()) })
	a := in.Addr()
	return in, a.String()
}

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

// directly drives the module alone in a loop for a while, and returns its decisions a second.
func directly(tb testing.TB, clients int, span time.Duration) float64 {
	act := &silent{}
	s := wide(tb, clients, []string{"127.0.0.1:1"}).Settings()
	g, err := policy.New(s, 1, 1000, act)
	if err != nil {
		tb.Fatal(err)
	}
	names, ids := make([]string, clients), make([]byte, 8)
	for i := range names {
		names[i] = fmt.Sprint("c", i)
	}
	n, begin, ticked := 0, time.Now(), 0.0
	for now := 0.0; now < span.Seconds(); now = time.Since(begin).Seconds() {
		if now > ticked+0.02 {
			ticked = now
			g.Timer(1000+now, 1)
		}
		for range 512 { // as many to a reading of the clock as the core takes
			n++
			for i := range ids {
				ids[i] = byte(n >> (8 * i))
			}
			g.Request(1000+now, policy.Request{ID: string(ids), Class: "job-status", Plan: "wide", Customer: names[n%clients],
				DeadlineAt: 1002.5 + now, GatewayCount: 1, Units: 1, QuotaOnly: true})
		}
	}
	return float64(n) / time.Since(begin).Seconds()
}

type silent struct{}

func (silent) Send(string, string, policy.Timing)     {}
func (silent) Refuse(string, float64, policy.Refusal) {}
func (silent) Fail(string)                            {}
func (silent) Admit(string)                           {}
func (silent) Cancel(string, int)                     {}
func (silent) SetTimer(uint64, float64)               {}
func (silent) Probe(string)                           {}
func (silent) SendToPeer(int, []byte)                 {}
func (silent) Log(string)                             {}

// pump keeps one connection busy with a command, so many to a write, and returns the answers a second of
// all connections together. mark is a text that comes once in each answer.
func pump(tb testing.TB, addr string, conns, depth int, command []byte, mark string, span time.Duration) float64 {
	var total sync.WaitGroup
	counts := make([]int, conns)
	stop := time.Now().Add(span)
	begin := time.Now()
	for i := range conns {
		c := login(tb, addr, fmt.Sprint("c", i))
		total.Add(1)
		go func() {
			defer total.Done()
			defer c.Close()
			batch := bytes.Repeat(command, depth)
			buf := make([]byte, 64<<10)
			ahead := 0
			for time.Now().Before(stop) {
				for ahead <= depth && ahead < 2*depth { // all together under what the core's queue holds
					if _, err := c.Write(batch); err != nil {
						return
					}
					ahead += depth
					if depth == 1 {
						break
					}
				}
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				got := bytes.Count(buf[:n], []byte(mark)) // marks are one byte long: none is cut in two
				counts[i] += got
				ahead -= got
			}
		}()
	}
	total.Wait()
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / time.Since(begin).Seconds()
}

var throttle = resp.AppendCommand(nil, "CL.THROTTLE", "k", "15", "30", "60")

func boxesFor(tb testing.TB, work float64) []string {
	var list []string
	for i := range 3 {
		p := standin.DefaultParams
		p.Cores, p.QueueLength = 64, 100000
		b, err := standin.NewServer("127.0.0.1:0", standin.ServerOptions{Params: p, Seed: uint64(i), Jobs: map[string]standin.Job{"JOB.STATUS": {Work: work}}})
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(b.Close)
		list = append(list, b.Addr())
	}
	return list
}

// (c) CL.THROTTLE, pipelined from several connections, against the module driven directly.
func BenchmarkThrottlePipelined(b *testing.B) {
	for b.Loop() {
		direct := directly(b, 64, 2*time.Second)
		_, addr := run(b, wide(b, 64, []string{"127.0.0.1:1"}))
		served := pump(b, addr, 32, 250, throttle, "*", 4*time.Second)
		b.ReportMetric(served, "answers/s")
		b.ReportMetric(direct, "module/s")
		b.ReportMetric(served/direct, "ratio")
	}
}

// (c) CL.THROTTLE one at a time from 50 connections, against PING on the same front.
func BenchmarkThrottleOneByOne(b *testing.B) {
	for b.Loop() {
		_, addr := run(b, wide(b, 64, []string{"127.0.0.1:1"}))
		var pings, asks float64
		for range 3 { // in turn, so that the machine's moods hit both
			pings += pump(b, addr, 50, 1, []byte("PING\r\n"), "+", time.Second) / 3
			asks += pump(b, addr, 50, 1, throttle, "*", time.Second) / 3
		}
		b.ReportMetric(pings, "ping/s")
		b.ReportMetric(asks, "throttle/s")
		b.ReportMetric(asks/pings, "ratio")
	}
}

// (b) Latency that the gateway adds at 1,000 requests a second, over asking a box directly. The boxes answer
// at once, so that nothing but the way is measured.
func BenchmarkLatencyAdded(b *testing.B) {
	for b.Loop() {
		list := boxesFor(b, 0.000001)
		_, addr := run(b, wide(b, 64, list))
		direct := latency(b, func(i int) (string, string) { return list[i%3], "" })
		_ = latency(b, func(i int) (string, string) { return addr, fmt.Sprint("c", i%64) }) // until the connections stand
		through := latency(b, func(i int) (string, string) { return addr, fmt.Sprint("c", i%64) })
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

// latency sends 1,000 a second over 20 connections for some seconds, on time whatever the answers do.
func latency(tb testing.TB, where func(i int) (addr, client string)) []time.Duration {
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

func quantile(list []time.Duration, q float64) time.Duration {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

// (d) Memory with 9,000 idle connections (both ends are in this process, which may hold 20,000 descriptors), and with 100,000 customers that have each asked once.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		heap := func() float64 {
			runtime.GC()
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc + m.StackInuse)
		}
		cfg := wide(b, 100_000, []string{"127.0.0.1:1"})
		empty := heap()
		in, addr := run(b, cfg)
		before := heap()
		b.ReportMetric((before-empty)/100_000, "B/client-listed")
		conns := make([]net.Conn, 9_000)
		for i := range conns {
			conns[i] = login(b, addr, fmt.Sprint("c", i))
		}
		idle := heap()
		b.ReportMetric((idle-before)/float64(len(conns)), "B/connection") // with the client's own end of it
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
				batch = append(batch, throttle...)
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

// (e) CPU a request: of the whole process, and of its parts by sampling (docs/measurements.md has the way).
func BenchmarkCPU(b *testing.B) {
	list := boxesFor(b, 0.000001)
	_, addr := run(b, wide(b, 64, list))
	spent := func() float64 {
		var r syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
			b.Fatal(err)
		}
		return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e3
	}
	for b.Loop() {
		from := spent()
		work := pump(b, addr, 16, 1, resp.AppendCommand(nil, "JOB.STATUS", "1"), "+", 3*time.Second) * 3
		mid := spent()
		limits := pump(b, addr, 16, 1, throttle, "*", 3*time.Second) * 3
		b.ReportMetric((mid-from)/work, "us/work") // with client and box, which run in this process too
		b.ReportMetric((spent()-mid)/limits, "us/limit")
	}
}
