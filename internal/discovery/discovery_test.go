package discovery_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"cometpond/internal/config"
	"cometpond/internal/discovery"
	"cometpond/internal/faults"
	"cometpond/internal/standin"
	"cometpond/policy"
)

// sink is a core that takes lists when the test lets it.
type sink struct {
	mu    sync.Mutex
	lists [][]policy.Server
	hold  chan struct{} // nil: taken at once
}

func (s *sink) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, list)
	if s.hold != nil {
		return s.hold
	}
	done := make(chan struct{})
	close(done)
	return done
}

func (s *sink) last() []policy.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lists) == 0 {
		return nil
	}
	return s.lists[len(s.lists)-1]
}

func wait(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it did not come about in 20 s")
		}
	}
}

// TestMain is also a client in a process of its own: with DISCOVERY_CHILD=restore it puts the list of DISCOVERY_KEEP in force
// and prints how many boxes that has; with DISCOVERY_CHILD=ADDRESS it follows a server and keeps its list there.
func TestMain(m *testing.M) {
	faults.Trap()
	keep := os.Getenv("DISCOVERY_KEEP")
	switch child := os.Getenv("DISCOVERY_CHILD"); child {
	case "":
		os.Exit(m.Run())
	case "restore":
		s := &sink{}
		err := discovery.NewClient(config.Discovery{Cluster: "boxes", CachePath: keep}, "me", s, zerolog.Nop()).Restore(context.Background())
		fmt.Println(len(s.last()), err)
	default:
		discovery.NewClient(config.Discovery{Servers: []string{child}, Cluster: "boxes", CachePath: keep}, "me", &sink{}, zerolog.Nop()).Run(context.Background())
	}
}

// inProcess starts this program as a client in a process of its own, with faults on its calls.
func inProcess(t *testing.T, child, keep string, calls []faults.Call, at ...faults.Fault) (*faults.Injector, *exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DISCOVERY_CHILD="+child, "DISCOVERY_KEEP="+keep)
	out := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = out, os.Stderr
	in, err := faults.Start(cmd, calls, at...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		in.Wait()
	})
	return in, cmd, out
}

func TestListIsKeptOnceTheDiskTakesIt(t *testing.T) {
	for _, fault := range []faults.Fault{
		{Call: faults.Write, Target: "list.json", Errno: unix.ENOSPC}, {Call: faults.Fsync, Target: "list.json", Errno: unix.EIO},
		{Call: faults.Open, Target: "list.json", Errno: unix.ENFILE}, {Call: faults.Rename, Errno: unix.EIO},
	} {
		e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close()
		keep := filepath.Join(t.TempDir(), "list.json")
		fault.Probability = 1
		in, _, _ := inProcess(t, e.Addr(), keep, []faults.Call{fault.Call}, fault)
		wait(t, func() bool { return len(e.Acknowledgements()) == 1 && in.Counts()[fault.Call] > 0 })
		if _, err := os.Stat(keep); err == nil {
			t.Fatalf("kept though %s fails: the test shows nothing", fault.Call)
		}
		in.Set()
		wait(t, func() bool { _, err := os.Stat(keep); return err == nil })
		if entries, _ := os.ReadDir(filepath.Dir(keep)); len(entries) != 1 {
			t.Errorf("%s: %d files beside the list", fault.Call, len(entries)-1)
		}
	}
}

func TestKeptListIsReadThoughTheDiskFailsForAMoment(t *testing.T) {
	keep := filepath.Join(t.TempDir(), "list.json")
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	follow(t, e, &sink{}, keep)
	wait(t, func() bool { return len(e.Acknowledgements()) == 1 })
	for _, fault := range []faults.Fault{{Call: faults.Open, Errno: unix.ENFILE}, {Call: faults.Open, Errno: unix.EIO}, {Call: faults.Read, Errno: unix.EIO}} {
		fault.Target, fault.Probability, fault.Burst, fault.Pause = "list.json", 1, 300*time.Millisecond, time.Hour
		in, cmd, out := inProcess(t, "restore", keep, []faults.Call{fault.Call}, fault)
		if err := cmd.Wait(); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != "2 <nil>\n" || in.Counts()[fault.Call] == 0 {
			t.Errorf("%s failing %d times by %v: %q", fault.Call, in.Counts()[fault.Call], fault.Errno, got)
		}
	}
}

func TestHalfWrittenListIsRemoved(t *testing.T) {
	folder := t.TempDir()
	keep := filepath.Join(folder, "list.json")
	for _, name := range []string{keep + ".new-123", keep + ".bak"} {
		if err := os.WriteFile(name, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := &sink{}
	if err := discovery.NewClient(config.Discovery{Cluster: "boxes", CachePath: keep}, "me", s, zerolog.Nop()).Restore(context.Background()); err != nil || s.last() != nil {
		t.Errorf("%v, %v: want no list", err, s.last())
	}
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) != 1 || entries[0].Name() != "list.json.bak" {
		t.Errorf("%v %v, want list.json.bak alone", entries, err)
	}
}

var list = []policy.Server{{ID: "127.0.0.1:1", Zone: "a", Cell: 1, Weight: 2, StartedAt: 1700000000.5},
	{ID: "127.0.0.1:2", Zone: "b", Weight: 1, State: policy.Draining}}

func follow(t *testing.T, e *standin.EDS, s *sink, keep string) *discovery.Client {
	c := discovery.NewClient(config.Discovery{Servers: []string{"127.0.0.1:9", e.Addr()}, Cluster: "boxes", CachePath: keep}, "me", s, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); work.Wait() })
	return c
}

// A list goes round by the protocol unchanged, and is acknowledged only once it is in force. The first
// server in order is down.
func TestInForceBeforeAcknowledged(t *testing.T) {
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	s := &sink{hold: make(chan struct{})}
	c := follow(t, e, s, "")
	wait(t, func() bool { return s.last() != nil })
	got := s.last()
	if len(got) != 2 || got[0] != list[0] || got[1] != list[1] {
		t.Fatalf("%+v, want %+v", got, list)
	}
	time.Sleep(50 * time.Millisecond)
	if n := len(e.Acknowledgements()); n != 0 {
		t.Fatalf("%d acknowledgements before the list was in force", n)
	}
	close(s.hold)
	wait(t, func() bool { return len(e.Acknowledgements()) == 1 })
	if a := e.Acknowledgements()[0]; a.Node != "me" || a.Version != 1 || a.Error != "" || !c.Status().Connected {
		t.Fatalf("%+v", a)
	}
}

// A bad list is refused with its reason, the last good one stays, and a good one after it is taken.
func TestBadListIsRefused(t *testing.T) {
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	s := &sink{}
	c := follow(t, e, s, "")
	wait(t, func() bool { return len(e.Acknowledgements()) == 1 })
	e.Set([]policy.Server{{ID: "127.0.0.1:3"}}) // no zone
	wait(t, func() bool { return len(e.Acknowledgements()) == 2 })
	if a := e.Acknowledgements()[1]; a.Version != 1 || !strings.Contains(a.Error, "no zone") {
		t.Fatalf("%+v", a)
	}
	if len(s.last()) != 2 || c.Status().RejectedLists != 1 {
		t.Fatalf("%+v, %+v", s.last(), c.Status())
	}
	e.Set(list[:1])
	wait(t, func() bool { return len(e.Acknowledgements()) == 3 && len(s.last()) == 1 })
}

// The last list is kept, found again at a start without discovery, and a damaged file is an error and no list.
func TestKeptList(t *testing.T) {
	keep := filepath.Join(t.TempDir(), "list.json")
	e, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{}
	follow(t, e, s, keep)
	wait(t, func() bool { return len(e.Acknowledgements()) == 1 })
	e.Close()
	again := &sink{}
	c := discovery.NewClient(config.Discovery{Servers: []string{"127.0.0.1:9"}, Cluster: "boxes", CachePath: keep}, "me", again, zerolog.Nop())
	if err := c.Restore(context.Background()); err != nil || len(again.last()) != 2 || again.last()[1] != list[1] {
		t.Fatalf("%v %+v", err, again.last())
	}
	raw, err := os.ReadFile(keep)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"", string(raw[:len(raw)/2]), `{"version":"1","assignment":{"nope":1}}`} {
		if err := os.WriteFile(keep, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		empty := &sink{}
		c := discovery.NewClient(config.Discovery{CachePath: keep, Cluster: "boxes"}, "me", empty, zerolog.Nop())
		if err := c.Restore(context.Background()); err == nil || empty.last() != nil {
			t.Errorf("%q: %v, %v", bad, err, empty.last())
		}
	}
	if entries, _ := os.ReadDir(filepath.Dir(keep)); len(entries) != 1 {
		t.Errorf("%d files beside the list", len(entries)-1)
	}
}
