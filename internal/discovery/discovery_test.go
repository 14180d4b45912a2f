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

// sink records lists of servers; the test decides when they come into force.
type sink struct {
	mu      sync.Mutex
	lists   [][]policy.Server
	inForce chan struct{} // closed by the test; nil: lists are in force at once
}

func (s *sink) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, list)
	if s.inForce != nil {
		return s.inForce
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

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not hold within 20 s")
		}
	}
}

// TestMain also runs as a client in a process of its own: with DISCOVERY_CHILD=restore it restores the list stored in
// DISCOVERY_KEEP and prints its number of servers; with DISCOVERY_CHILD=ADDRESS it follows that discovery server and
// stores its lists in DISCOVERY_KEEP.
func TestMain(m *testing.M) {
	faults.Trap()
	path := os.Getenv("DISCOVERY_KEEP")
	switch child := os.Getenv("DISCOVERY_CHILD"); child {
	case "":
		os.Exit(m.Run())
	case "restore":
		s := &sink{}
		err := discovery.NewClient(config.Discovery{Cluster: "boxes", CachePath: path}, "me", s, zerolog.Nop()).Restore(context.Background())
		fmt.Println(len(s.last()), err)
	default:
		discovery.NewClient(config.Discovery{Servers: []string{child}, Cluster: "boxes", CachePath: path}, "me", &sink{}, zerolog.Nop()).Run(context.Background())
	}
}

// startChild starts this program as a client in a process of its own, with faults injected into its system calls.
func startChild(t *testing.T, child, path string, calls []faults.Call, at ...faults.Fault) (*faults.Injector, *exec.Cmd, *bytes.Buffer) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DISCOVERY_CHILD="+child, "DISCOVERY_KEEP="+path)
	out := &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = out, os.Stderr
	injector, err := faults.Start(cmd, calls, at...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		injector.Wait()
	})
	return injector, cmd, out
}

// A list that could not be written, as the disk was full or failed, is stored once writing succeeds again, and no
// temporary file remains.
func TestListIsStoredOnceDiskRecovers(t *testing.T) {
	for _, fault := range []faults.Fault{
		{Call: faults.Write, Target: "list.json", Errno: unix.ENOSPC}, {Call: faults.Fsync, Target: "list.json", Errno: unix.EIO},
		{Call: faults.Open, Target: "list.json", Errno: unix.ENFILE}, {Call: faults.Rename, Errno: unix.EIO},
	} {
		server, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		path := filepath.Join(t.TempDir(), "list.json")
		fault.Probability = 1
		injector, _, _ := startChild(t, server.Addr(), path, []faults.Call{fault.Call}, fault)
		waitFor(t, func() bool { return len(server.Acknowledgements()) == 1 && injector.Counts()[fault.Call] > 0 })
		if _, err := os.Stat(path); err == nil {
			t.Fatalf("the list was stored although %s fails: the fault was not injected", fault.Call)
		}
		injector.Set()
		waitFor(t, func() bool { _, err := os.Stat(path); return err == nil })
		if entries, _ := os.ReadDir(filepath.Dir(path)); len(entries) != 1 {
			t.Errorf("%s: %d files beside the list", fault.Call, len(entries)-1)
		}
	}
}

// Restore retries when the stored list cannot be read for a moment.
func TestStoredListIsReadAfterBriefDiskFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	server, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	follow(t, server, &sink{}, path)
	waitFor(t, func() bool { return len(server.Acknowledgements()) == 1 })
	for _, fault := range []faults.Fault{{Call: faults.Open, Errno: unix.ENFILE}, {Call: faults.Open, Errno: unix.EIO}, {Call: faults.Read, Errno: unix.EIO}} {
		fault.Target, fault.Probability, fault.Burst, fault.Pause = "list.json", 1, 300*time.Millisecond, time.Hour
		injector, cmd, out := startChild(t, "restore", path, []faults.Call{fault.Call}, fault)
		if err := cmd.Wait(); err != nil {
			t.Fatal(err)
		}
		if got := out.String(); got != "2 <nil>\n" || injector.Counts()[fault.Call] == 0 {
			t.Errorf("%s failed %d times with %v: %q", fault.Call, injector.Counts()[fault.Call], fault.Errno, got)
		}
	}
}

// Restore removes temporary files that a killed process has left, and no others.
func TestTemporaryFilesAreRemoved(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "list.json")
	for _, name := range []string{path + ".new-123", path + ".bak"} {
		if err := os.WriteFile(name, []byte("{"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := &sink{}
	if err := discovery.NewClient(config.Discovery{Cluster: "boxes", CachePath: path}, "me", s, zerolog.Nop()).Restore(context.Background()); err != nil || s.last() != nil {
		t.Errorf("%v, %v: want no list", err, s.last())
	}
	entries, err := os.ReadDir(directory)
	if err != nil || len(entries) != 1 || entries[0].Name() != "list.json.bak" {
		t.Errorf("%v %v, want list.json.bak alone", entries, err)
	}
}

var list = []policy.Server{{ID: "127.0.0.1:1", Zone: "a", Cell: 1, Weight: 2, StartedAt: 1700000000.5},
	{ID: "127.0.0.1:2", Zone: "b", Weight: 1, State: policy.Draining}}

func follow(t *testing.T, server *standin.EDS, s *sink, path string) *discovery.Client {
	client := discovery.NewClient(config.Discovery{Servers: []string{"127.0.0.1:9", server.Addr()}, Cluster: "boxes", CachePath: path}, "me", s, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); client.Run(ctx) }()
	t.Cleanup(func() { cancel(); work.Wait() })
	return client
}

// A list passes through the protocol unchanged and is acknowledged only once it is in force. The first discovery server
// of the configuration is down.
func TestInForceBeforeAcknowledged(t *testing.T) {
	server, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	s := &sink{inForce: make(chan struct{})}
	client := follow(t, server, s, "")
	waitFor(t, func() bool { return s.last() != nil })
	got := s.last()
	if len(got) != 2 || got[0] != list[0] || got[1] != list[1] {
		t.Fatalf("%+v, want %+v", got, list)
	}
	time.Sleep(50 * time.Millisecond)
	if n := len(server.Acknowledgements()); n != 0 {
		t.Fatalf("%d acknowledgements before the list was in force", n)
	}
	close(s.inForce)
	waitFor(t, func() bool { return len(server.Acknowledgements()) == 1 })
	if a := server.Acknowledgements()[0]; a.Node != "me" || a.Version != 1 || a.Error != "" || !client.Status().Connected {
		t.Fatalf("%+v", a)
	}
}

// An invalid list is refused with a reason and the last valid one stays in force; the next valid list is accepted.
func TestInvalidListIsRefused(t *testing.T) {
	server, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	s := &sink{}
	client := follow(t, server, s, "")
	waitFor(t, func() bool { return len(server.Acknowledgements()) == 1 })
	server.Set([]policy.Server{{ID: "127.0.0.1:3"}}) // no zone
	waitFor(t, func() bool { return len(server.Acknowledgements()) == 2 })
	if a := server.Acknowledgements()[1]; a.Version != 1 || !strings.Contains(a.Error, "no zone") {
		t.Fatalf("%+v", a)
	}
	if len(s.last()) != 2 || client.Status().RejectedLists != 1 {
		t.Fatalf("%+v, %+v", s.last(), client.Status())
	}
	server.Set(list[:1])
	waitFor(t, func() bool { return len(server.Acknowledgements()) == 3 && len(s.last()) == 1 })
}

// The last list is stored and restored at a start without a discovery server. A damaged file is an error and yields no
// list.
func TestStoredList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.json")
	server, err := standin.NewEDS("127.0.0.1:0", "boxes", list)
	if err != nil {
		t.Fatal(err)
	}
	s := &sink{}
	follow(t, server, s, path)
	waitFor(t, func() bool { return len(server.Acknowledgements()) == 1 })
	server.Close()
	again := &sink{}
	client := discovery.NewClient(config.Discovery{Servers: []string{"127.0.0.1:9"}, Cluster: "boxes", CachePath: path}, "me", again, zerolog.Nop())
	if err := client.Restore(context.Background()); err != nil || len(again.last()) != 2 || again.last()[1] != list[1] {
		t.Fatalf("%v %+v", err, again.last())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"", string(raw[:len(raw)/2]), `{"version":"1","assignment":{"nope":1}}`} {
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		empty := &sink{}
		client := discovery.NewClient(config.Discovery{CachePath: path, Cluster: "boxes"}, "me", empty, zerolog.Nop())
		if err := client.Restore(context.Background()); err == nil || empty.last() != nil {
			t.Errorf("%q: %v, %v", bad, err, empty.last())
		}
	}
	if entries, _ := os.ReadDir(filepath.Dir(path)); len(entries) != 1 {
		t.Errorf("%d files beside the list", len(entries)-1)
	}
}
