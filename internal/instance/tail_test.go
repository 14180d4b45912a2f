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

// runMeasurementProcess runs one part of a benchmark (server, relay or gateway) in this process until standard input
// ends, and prints the part's address.
func runMeasurementProcess(part, arg string) error {
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
	if file := os.Getenv("COMETPOND_TRACE"); file != "" && part == "gateway" { // for go tool trace, which shows each hop
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

// startMeasurementProcess starts a part in a process of its own and returns its address.
func startMeasurementProcess(tb testing.TB, part, arg string, env ...string) string {
	tb.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "COMETPOND_PART="+part, "COMETPOND_ARG="+arg), env...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		tb.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		tb.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { in.Close(); _ = cmd.Wait() })
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		tb.Fatal(err)
	}
	return strings.TrimSpace(addr)
}

// BenchmarkTail compares the latency at 1,000 requests a second through the gateway with that through a plain TCP relay,
// which has the same two hops. Server, relay and gateway are processes of their own, and the two paths alternate.
func BenchmarkTail(b *testing.B) {
	for b.Loop() {
		server := startMeasurementProcess(b, "box", "")
		relay := startMeasurementProcess(b, "relay", server)
		gateway := startMeasurementProcess(b, "gateway", unlimitedSettings(64, []string{server}))
		if _, err := net.Dial("tcp", relay); err != nil {
			b.Fatal(err)
		}
		var relayed, through []time.Duration
		for range 4 {
			relayed = append(relayed, measureLatency(b, func(int) (string, string) { return relay, "" })...)
			through = append(through, measureLatency(b, func(i int) (string, string) { return gateway, fmt.Sprint("c", i%64) })...)
		}
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}} {
			d, t := quantile(relayed, q.at), quantile(through, q.at)
			b.ReportMetric(float64(d.Microseconds()), q.name+"-relay-us")
			b.ReportMetric(float64(t.Microseconds()), q.name+"-gateway-us")
			b.ReportMetric(float64(t-d)/float64(d), q.name+"-added-ratio")
		}
	}
}

// BenchmarkOneByOne compares CL.THROTTLE, one at a time from 50 connections, with PING; the gateway is a process of its
// own.
func BenchmarkOneByOne(b *testing.B) {
	for b.Loop() {
		addr := startMeasurementProcess(b, "gateway", unlimitedSettings(64, []string{"127.0.0.1:1"}))
		var pings, asks float64
		for range 4 {
			pings += pipelinedAnswersPerS(b, addr, 50, 1, []byte("PING\r\n"), "+", time.Second) / 4
			asks += pipelinedAnswersPerS(b, addr, 50, 1, throttleCommand, "*", time.Second) / 4
		}
		b.ReportMetric(pings, "ping/s")
		b.ReportMetric(asks, "throttle/s")
		b.ReportMetric(asks/pings, "ratio")
	}
}
