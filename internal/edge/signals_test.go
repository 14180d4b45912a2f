package edge

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/standin"
)

// runIngress calls Run with signal channels that the test sends on. It returns the path of the configuration, the address of
// the ingress, the channels, and a channel with the result of Run.
func runIngress(t *testing.T, platform *platform, known string) (path, addr string, hup, term chan os.Signal, end <-chan error) {
	t.Helper()
	addr = freeAddr(t)
	path, err := standin.PlatformConfig(t.TempDir(), addr, platform.discovery.Addr(), known, standin.PlatformSettings(0, 1))
	if err != nil {
		t.Fatal(err)
	}
	hup, term = make(chan os.Signal, 10), make(chan os.Signal, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- Run(func(name string) string { return map[string]string{"EDGE_CONFIG": path}[name] }, hup, term, zerolog.Nop())
	}()
	return path, addr, hup, term, ended
}

// expectExit waits until Run has returned without an error.
func (conn *client) expectExit(end <-chan error, timeout time.Duration) {
	conn.t.Helper()
	select {
	case err := <-end:
		if err != nil {
			conn.t.Error(err)
		}
	case <-time.After(timeout):
		conn.t.Errorf("Run has not returned within %v", timeout)
	}
}

// SIGTERM arrives during the wait for the first list, when no client has been accepted: Run returns at once and without an error.
func TestTermBeforeTheFirstList(t *testing.T) {
	platform := newPlatform(t, 1, answerNow)
	requested, release := make(chan struct{}, 100), make(chan struct{})
	defer close(release)
	platform.discovery.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		requested <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		return true
	})
	_, addr, hup, term, end := runIngress(t, platform, "")
	<-requested
	hup <- syscall.SIGHUP
	term <- syscall.SIGTERM
	term <- syscall.SIGTERM
	(&client{t: t}).expectExit(end, 3*time.Second)
	if conn, err := net.Dial("tcp", addr); err == nil {
		conn.Close()
		t.Error("the address is still listened on")
	}
}

// SIGHUP and SIGTERM arrive together, in both orders and each of them twice, with a request open: the request is answered, the
// new discovery server is polled, and Run returns in time.
func TestHupAndTermTogether(t *testing.T) {
	for _, order := range []string{"hup first", "term first"} {
		t.Run(order, func(t *testing.T) {
			hold, received := make(chan struct{}), make(chan struct{}, 1)
			platform := newPlatform(t, 1, func(conn net.Conn, s standin.ReceivedCommand) {
				received <- struct{}{}
				answerAfter(hold, "ee")(conn, s)
			})
			path, addr, hup, term, end := runIngress(t, platform, platform.discovery.List())
			waitFor(t, "it serves", func() bool {
				conn, err := net.Dial("tcp", addr)
				if err == nil {
					conn.Close()
				}
				return err == nil
			})
			next, err := standin.NewPlatformDiscovery(platform.hosts[0])
			if err != nil {
				t.Fatal(err)
			}
			defer next.Close()
			conn := dial(t, addr)
			conn.send(request("00000000000000ee", "pay", "basic", 6000))
			<-received
			if _, err := standin.PlatformConfig(filepath.Dir(path), addr, next.Addr(), platform.discovery.List(), standin.PlatformSettings(0, 1)); err != nil {
				t.Fatal(err)
			}
			first, second, firstSignal, secondSignal := hup, term, os.Signal(syscall.SIGHUP), os.Signal(syscall.SIGTERM)
			if order == "term first" {
				first, second, firstSignal, secondSignal = term, hup, secondSignal, firstSignal
			}
			for range 2 {
				first <- firstSignal
				second <- secondSignal
			}
			waitFor(t, "the new discovery server is polled", func() bool { return len(next.Calls()) > 0 })
			close(hold)
			conn.expect("value of 00000000000000ee")
			conn.expectClosed()
			conn.expectExit(end, 5*time.Second)
		})
	}
}
