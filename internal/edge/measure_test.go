package edge

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/pprof"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"cometpond/internal/logsink"
	"cometpond/internal/standin"
)

// BenchmarkIngress sends requests one by one over 16 connections through an ingress in a process of its own, and
// reports that process's CPU a request, its memory, and its time beyond the backends'. With EDGE_PROFILE=FILE the
// ingress writes a CPU profile there.
//
//	EDGE_PROFILE=/tmp/edge.prof go test -run NONE -bench Ingress -benchtime 20000x ./internal/edge
func BenchmarkIngress(b *testing.B) {
	p := newPlatform(b, 4, func(c net.Conn, s standin.ReceivedCommand) {
		time.Sleep(2 * time.Millisecond)
		_, _ = c.Write(standin.ValueReply(s))
	})
	listen := freeAddr(b)
	path, err := standin.PlatformConfig(b.TempDir(), listen, p.roster.Addr(), p.roster.List(), standin.PlatformSettings(0, 1))
	if err != nil {
		b.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run", "TestMain")
	child.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_CHILD=1")
	child.Stderr = os.Stderr
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = child.Process.Kill() }()
	const clients = 16
	var conns []net.Conn
	for end := time.Now().Add(10 * time.Second); len(conns) < clients && time.Now().Before(end); {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conns = append(conns, c)
	}
	b.ResetTimer()
	var work sync.WaitGroup
	for n, c := range conns {
		work.Add(1)
		go func() {
			defer work.Done()
			in := bufio.NewReader(c)
			for i := n; i < b.N; i += clients {
				if _, err := c.Write(request(fmt.Sprintf("%016x", i+1), "status", "basic", 2500)); err != nil {
					b.Error(err)
					return
				}
				if _, err := readAnswer(in); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	work.Wait()
	b.StopTimer()
	for _, c := range conns {
		c.Close()
	}
	_ = child.Process.Signal(syscall.SIGTERM)
	if err := child.Wait(); err != nil {
		b.Fatal(err)
	}
	u := child.ProcessState.SysUsage().(*syscall.Rusage)
	cpu := child.ProcessState.UserTime() + child.ProcessState.SystemTime()
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/request")
	b.ReportMetric(float64(u.Maxrss)/1024, "MB")
}

// child is an ingress in a process of its own, with EDGE_NOFILE descriptors where that is set.
func child() error {
	if n, err := strconv.ParseUint(os.Getenv("EDGE_NOFILE"), 10, 32); err == nil {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}); err != nil {
			return err
		}
	}
	if path := os.Getenv("EDGE_PROFILE"); path != "" {
		f, err := os.Create(filepath.Clean(path))
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM)
	sink := logsink.New(os.Stderr)
	defer sink.Close(time.Second)
	return Run(os.Getenv, hup, term, zerolog.New(sink).Level(zerolog.InfoLevel).With().Timestamp().Logger())
}
