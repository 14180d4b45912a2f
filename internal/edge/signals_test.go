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

// life runs an ingress with signals that the test sends, and returns its address and its end.
func life(t *testing.T, p *platform, known string) (path, addr string, hup, term chan os.Signal, end <-chan error) {
	t.Helper()
	addr = freeAddr(t)
	path, err := standin.PlatformConfig(t.TempDir(), addr, p.roster.Addr(), known, standin.PlatformSettings(0, 1))
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

func (c *client) left(end <-chan error, most time.Duration) {
	c.t.Helper()
	select {
	case err := <-end:
		if err != nil {
			c.t.Error(err)
		}
	case <-time.After(most):
		c.t.Errorf("not gone in %v", most)
	}
}

// SIGTERM while the first list is awaited: nobody has been let in, and it ends at once and well.
func TestTermBeforeTheFirstList(t *testing.T) {
	p := newPlatform(t, 1, good)
	asked, release := make(chan struct{}, 100), make(chan struct{})
	defer close(release)
	p.roster.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		asked <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		return true
	})
	_, addr, hup, term, end := life(t, p, "")
	<-asked
	hup <- syscall.SIGHUP
	term <- syscall.SIGTERM
	term <- syscall.SIGTERM
	(&client{t: t}).left(end, 3*time.Second)
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("somebody listens")
	}
}

// SIGHUP and SIGTERM at once, in both orders and each of them twice, with a request open: it is answered, the new discovery is
// asked, and the ingress ends in time.
func TestHupAndTermTogether(t *testing.T) {
	for _, order := range []string{"hup first", "term first"} {
		t.Run(order, func(t *testing.T) {
			hold, out := make(chan struct{}), make(chan struct{}, 1)
			p := newPlatform(t, 1, func(c net.Conn, s standin.ReceivedCommand) {
				out <- struct{}{}
				holding(hold, "ee")(c, s)
			})
			path, addr, hup, term, end := life(t, p, p.roster.List())
			until(t, "it serves", func() bool {
				c, err := net.Dial("tcp", addr)
				if err == nil {
					c.Close()
				}
				return err == nil
			})
			next, err := standin.NewPlatformDiscovery(p.hosts[0])
			if err != nil {
				t.Fatal(err)
			}
			defer next.Close()
			c := dial(t, addr)
			c.send(request("00000000000000ee", "pay", "basic", 6000))
			<-out
			if _, err := standin.PlatformConfig(filepath.Dir(path), addr, next.Addr(), p.roster.List(), standin.PlatformSettings(0, 1)); err != nil {
				t.Fatal(err)
			}
			first, second, a, b := hup, term, os.Signal(syscall.SIGHUP), os.Signal(syscall.SIGTERM)
			if order == "term first" {
				first, second, a, b = term, hup, b, a
			}
			for range 2 {
				first <- a
				second <- b
			}
			until(t, "the new discovery is asked", func() bool { return len(next.Calls()) > 0 })
			close(hold)
			c.expect("value of 00000000000000ee")
			c.ends()
			c.left(end, 5*time.Second)
		})
	}
}
