package instance

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime/trace"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/config"
	"cometpond/internal/standin"
)

// partOf has the test binary be one part of a measurement, in a process of its own, until its input ends.
func partOf(part, arg string) error {
	var addr string
	switch part {
	case "box":
		jobs := map[string]standin.Job{"JOB.STATUS": {Work: 0.000001}}
		p := standin.DefaultParams
		b, err := standin.NewServer("127.0.0.1:0", standin.ServerOptions{Params: p, Jobs: jobs, Seed: 1})
		if err != nil {
			return err
		}
		defer b.Close()
		addr = b.Addr()
	case "relay":
		r, err := standin.NewTCPRelay("127.0.0.1:0", arg, 1)
		if err != nil {
			return err
		}
		defer r.Close()
		addr = r.Addr()
	case "gateway":
		cfg, err := config.Parse("part", arg)
		if err != nil {
			return err
		}
		in, err := Start(context.Background(), cfg, Options{Log: zerolog.Nop(), Seed: 1})
		if err != nil {
			return err
		}
		defer in.Stop(context.Background())
		addr = in.Addr().String()
	}
	if file := os.Getenv("COMETPOND_TRACE"); file != "" && part == "gateway" { // for go tool trace: hop by hop
		f, err := os.Create(file)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := trace.Start(f); err != nil {
			return err
		}
		defer trace.Stop()
	}
	fmt.Println(addr)
	_, _ = os.Stdin.Read(make([]byte, 1))
	return nil
}

// process starts a part and returns its address.
func process(tb testing.TB, part, arg string, env ...string) string {
	tb.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(append(os.Environ(), "COMETPOND_PART="+part, "COMETPOND_ARG="+arg), env...)
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.StdinPipe()
	if err != nil {
		tb.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := c.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { in.Close(); _ = c.Wait() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		tb.Fatal(err)
	}
	return strings.TrimSpace(addr)
}

// BenchmarkTail is the latency at 1,000 a second through the gateway, against asking the box through a bare TCP
// relay, which has the same two hops: all parts are processes of their own, and the two ways take turns.
func BenchmarkTail(b *testing.B) {
	for b.Loop() {
		box := process(b, "box", "")
		relay := process(b, "relay", box)
		gateway := process(b, "gateway", settingsOf(64, []string{box}))
		if _, err := net.Dial("tcp", relay); err != nil {
			b.Fatal(err)
		}
		var bare, through []time.Duration
		for range 4 {
			bare = append(bare, latency(b, func(int) (string, string) { return relay, "" })...)
			through = append(through, latency(b, func(i int) (string, string) { return gateway, fmt.Sprint("c", i%64) })...)
		}
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}} {
			d, t := quantile(bare, q.at), quantile(through, q.at)
			b.ReportMetric(float64(d.Microseconds()), q.name+"-relay-us")
			b.ReportMetric(float64(t.Microseconds()), q.name+"-gateway-us")
			b.ReportMetric(float64(t-d)/float64(d), q.name+"-added-ratio")
		}
	}
}

// BenchmarkOneByOne is CL.THROTTLE one at a time from 50 connections, against PING, the gateway in a process of
// its own.
func BenchmarkOneByOne(b *testing.B) {
	for b.Loop() {
		addr := process(b, "gateway", settingsOf(64, []string{"127.0.0.1:1"}))
		var pings, asks float64
		for range 4 {
			pings += pump(b, addr, 50, 1, []byte("PING\r\n"), "+", time.Second) / 4
			asks += pump(b, addr, 50, 1, throttle, "*", time.Second) / 4
		}
		b.ReportMetric(pings, "ping/s")
		b.ReportMetric(asks, "throttle/s")
		b.ReportMetric(asks/pings, "ratio")
	}
}
