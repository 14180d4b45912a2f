package endpoints

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cometpond/internal/standin"
	"cometpond/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validEntry = `{"host":"s-1","dial":"10.1.0.18:6379","site":"a","class":"m2","block":3,"health":"SERVING","share":0.5,"born_ms":1500}`

func fullList(entries ...string) string {
	return `{"seq":41,"whole":true,"hosts":[` + strings.Join(entries, ",") + `],"later":1}`
}

func TestParse(t *testing.T) {
	l, err := Parse([]byte(fullList(validEntry, `{"host":"s-2","health":"DELETED"}`)))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Server{ID: "s-1", Zone: "a", Cell: 3, State: policy.Up, Weight: 0.5, StartedAt: 1.5}
	if l.Version != 41 || !l.Full || len(l.Servers) != 2 || l.Servers[0] != want || l.Servers[1].State != policy.Removed || l.Addrs["s-1"] != "10.1.0.18:6379" {
		t.Fatalf("%+v", l)
	}
	complete := fullList(validEntry)
	for i := range len(complete) { // a truncated answer is rejected
		if _, err := Parse([]byte(complete[:i])); err == nil {
			t.Errorf("truncated to %d bytes it is accepted: %q", i, complete[:i])
		}
	}
	for _, bad := range []string{"null", "[]", `"x"`, `{"whole":true,"hosts":[]}`, `{"seq":-1,"whole":true}`, `{"seq":1.5,"whole":true}`, `{"seq":"1","whole":true}`,
		`{"seq":1,"whole":1}`, `{"seq":1,"hosts":{}}`,
		fullList(strings.Replace(validEntry, "SERVING", "UP", 1)), fullList(strings.Replace(validEntry, `"s-1"`, `""`, 1)), fullList(strings.Replace(validEntry, `"s-1"`, `5`, 1)),
		fullList(strings.Replace(validEntry, ":6379", "", 1)), fullList(strings.Replace(validEntry, ":6379", ":0", 1)), fullList(strings.Replace(validEntry, ":6379", ":70000", 1)),
		fullList(strings.Replace(validEntry, "10.1.0.18", "backend.example", 1)), fullList(strings.Replace(validEntry, `"block":3`, `"block":"3"`, 1)),
		fullList(validEntry + strings.Repeat(","+validEntry, maxHosts))} {
		if l, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%.80q is accepted: %d entries", bad, len(l.Servers))
		}
	}
}

// After an answer the next request follows without delay. After a failure it is delayed, and asks for the full list because
// changes may have been missed.
func TestPoller(t *testing.T) {
	poller := NewPoller(List{})
	if request := poller.NextRequest(); request.Path != "/api/targets" || request.DelayS != 0 || request.TimeoutS <= 0 {
		t.Fatalf("first request: %+v", request)
	}
	if poller.HandleList(List{Version: 3}); poller.NextRequest().Path != "/api/targets" || poller.NextRequest().DelayS <= 0 {
		t.Fatalf("after changes in answer to a request for the full list: %+v, want another such request after a delay", poller.NextRequest())
	}
	poller.HandleList(List{Version: 4, Full: true})
	request := poller.NextRequest()
	if request.Path != "/api/targets?since=4&timeout_ms=2000" || request.DelayS != 0 || request.TimeoutS < 2 {
		t.Fatalf("long poll: %+v", request)
	}
	if poller.HandleList(List{Version: 5}); !strings.Contains(poller.NextRequest().Path, "since=5") {
		t.Fatal("the version of the changes is not used")
	}
	poller.HandleFailure(0)
	if request := poller.NextRequest(); request.DelayS <= 0 || request.DelayS >= 0.1 || request.Path != "/api/targets" {
		t.Fatalf("after a failure: %+v", request)
	}
	for n := range 500 { // discovery is down: a change that it has when it comes back counts as known at once
		tookS := []float64{0, 0.03, 0.149, 0.15, 0.7}[n%5]
		poller.HandleFailure(tookS)
		request := poller.NextRequest()
		if request.Path != "/api/targets" || request.SilenceTimeoutS > request.TimeoutS || request.DelayS > 0.05 ||
			tookS+request.DelayS < 0.05 || request.DelayS > 0 && tookS+request.DelayS > 0.151 || request.SilenceTimeoutS > 0.15 {
			t.Fatalf("after %d failures, the last after %v s: %+v", n+2, tookS, request)
		}
	}
	poller.HandleList(List{Version: 6, Full: true})
	if poller.Reset(); poller.NextRequest().Path != "/api/targets" || poller.NextRequest().DelayS != 0 {
		t.Fatal("after a reset the full list is not requested at once")
	}
}

// Up to three requests fail, in every combination of ways and each as late as possible, after a change that discovery has:
// the request that brings the change must be answered in time. At the change, a long poll is open, a request for the full
// list has just been sent, or the poller is in the state after many failures; or the address has changed and no request
// is in flight.
func TestEveryOrderOfFailuresIsInTime(t *testing.T) {
	const silent, refused, reset, ended, half, changes = 0, 1, 2, 3, 4, 5 // ways in which a request fails
	elapse := func(poller *Poller, failure int) float64 {
		request := poller.NextRequest()
		took := 0.0
		switch failure {
		case silent:
			took = request.SilenceTimeoutS
		case reset, ended, half:
			took = request.TimeoutS
		case refused:
			took = connectTimeoutS
		}
		if failure == changes {
			poller.HandleList(List{Version: 9})
		} else {
			poller.HandleFailure(took)
		}
		return request.DelayS + took
	}
	synced := func() *Poller { w := NewPoller(List{}); w.HandleList(List{Version: 1, Full: true}); return w }
	starts := map[string]func() (*Poller, float64){
		"long poll":    func() (*Poller, float64) { return synced(), 0 },
		"full request": func() (*Poller, float64) { w := synced(); w.HandleFailure(0); return w, -w.NextRequest().DelayS }, // just sent
		"many failures": func() (*Poller, float64) {
			w := synced()
			for range 500 {
				w.HandleFailure(0)
			}
			return w, 0
		},
		"new address": func() (*Poller, float64) { w := synced(); w.Reset(); return w, 0 },
	}
	for name, start := range starts {
		limitS := map[string]float64{"new address": 4}[name]
		if limitS == 0 {
			limitS = 6
		}
		var check func(order []int)
		check = func(order []int) {
			poller, at := start()
			for _, failure := range order {
				at += elapse(poller, failure)
			}
			request := poller.NextRequest()
			if at += request.DelayS + answerTimeoutS; at >= limitS {
				t.Errorf("%s, then failures %v: known after %.2f s, want less than %v", name, order, at, limitS)
			}
			if strings.Contains(request.Path, "since") && len(order) > 0 {
				t.Errorf("%s, then failures %v: requests %s, want the full list", name, order, request.Path)
			}
			if len(order) < 3 {
				for failure := silent; failure <= changes; failure++ {
					if failure != changes || !strings.Contains(request.Path, "since") { // a long poll is answered by changes
						check(append(order[:len(order):len(order)], failure))
					}
				}
			}
		}
		check(nil)
	}
}

// A list with a lower version is applied, since discovery may have restarted its numbering. But it does not bring back a server
// that drains or is removed, unless the server has restarted since.
func TestLowerVersion(t *testing.T) {
	at := func(id string, state policy.ServerState, since float64) policy.Server {
		return policy.Server{ID: id, State: state, StartedAt: since}
	}
	states := func(list List) (text string) {
		for _, server := range list.Servers {
			text += fmt.Sprint(server.ID, server.State, " ")
		}
		return text
	}
	poller := NewPoller(List{Version: 40, Full: true, Servers: []policy.Server{at("a", policy.Up, 1), at("b", policy.Up, 1),
		at("c", policy.Up, 1), at("d", policy.Up, 1)}})
	poller.HandleList(List{Version: 41, Full: true, Servers: []policy.Server{at("a", policy.Draining, 1), at("b", policy.Up, 1), at("d", policy.Draining, 1)}}) // c is removed
	old := List{Version: 3, Full: true, Servers: []policy.Server{at("a", policy.Up, 1), at("b", policy.Up, 1),
		at("c", policy.Up, 1), at("d", policy.Up, 7), at("e", policy.Up, 0)}}
	if got := states(poller.HandleList(old)); got != "a1 b0 c1 d0 e0 " {
		t.Errorf("applied from a full list of a lower version: %s", got)
	}
	if request := poller.NextRequest(); !strings.Contains(request.Path, "since=3&") {
		t.Errorf("the next request is %s, want a long poll from version 3", request.Path)
	}
	if got := states(poller.HandleList(List{Version: 4, Servers: []policy.Server{at("a", policy.Up, 1), at("b", policy.Draining, 1)}})); got != "a0 b1 " {
		t.Errorf("applied from changes of the next version: %s", got)
	}
	if got := states(poller.HandleList(List{Version: 2, Servers: []policy.Server{at("b", policy.Up, 1)}})); got != "b1 " ||
		poller.NextRequest().Path != "/api/targets" {
		t.Errorf("applied from changes of a lower version: %s, then requested %s", got, poller.NextRequest().Path)
	}
	if got := states(poller.HandleList(List{Version: 2, Full: true})); got != "" || len(poller.servers) == 0 {
		t.Errorf("applied from an empty full list: %s", got)
	}
	for i := range 5 * maxHosts {
		poller.HandleList(List{Version: uint64(10 + i), Full: true, Servers: []policy.Server{at(fmt.Sprint("x", i), policy.Up, 0)}})
	}
	if len(poller.servers) > 2*maxHosts {
		t.Errorf("%d servers kept", len(poller.servers))
	}
}

// recorder records the lists that it is told to apply.
type recorder struct {
	mu    sync.Mutex
	lists []List
}

func (r *recorder) ApplyList(l List) { r.mu.Lock(); r.lists = append(r.lists, l); r.mu.Unlock() }

func (r *recorder) last() (n int, l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n = len(r.lists); n > 0 {
		l = r.lists[n-1]
	}
	return n, l
}

func host(id string) standin.PlatformHost {
	return standin.PlatformHost{Host: id, Dial: "127.0.0.1:9", Site: "a", Health: "SERVING", Share: 1}
}

// startDiscovery starts a discovery server with a list of hosts.
func startDiscovery(t *testing.T, hosts ...standin.PlatformHost) *standin.PlatformDiscovery {
	t.Helper()
	discovery, err := standin.NewPlatformDiscovery(hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	return discovery
}

// follow runs a client of the discovery server at an address.
func follow(t *testing.T, addr string) (*Client, *recorder) {
	t.Helper()
	received := &recorder{}
	client := NewClient(addr, List{}, received, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); client.Run(ctx) }()
	t.Cleanup(func() { cancel(); work.Wait() })
	return client, received
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// Changes arrive by the long poll. After a change of the address, the full list is fetched from the new address at once, while
// the long poll at the old one is still open.
func TestFollowsListsAndChangesAddress(t *testing.T) {
	first, second := startDiscovery(t, host("s-1")), startDiscovery(t, host("s-9"))
	client, got := follow(t, first.Addr())
	waitFor(t, "first list", func() bool { n, _ := got.last(); return n == 1 })
	first.SetHosts(host("s-1"), host("s-2"))
	waitFor(t, "the change", func() bool { _, l := got.last(); return len(l.Servers) == 2 })
	client.SetAddress(second.Addr())
	waitFor(t, "the list of the new address", func() bool { _, l := got.last(); return l.Full && len(l.Servers) == 1 && l.Servers[0].ID == "s-9" })
	if requests := second.Calls(); requests[0] != "/api/targets" {
		t.Errorf("the first request to the new address is %s", requests[0])
	}
}

// Invalid answers leave the current list in effect; the next valid one is applied.
func TestBadAnswers(t *testing.T) {
	for name, spoil := range map[string]func(w http.ResponseWriter){
		"incomplete":    func(w http.ResponseWriter) { w.Header().Set("Content-Length", "500"); fmt.Fprint(w, `{"seq":1,`) },
		"not JSON":      func(w http.ResponseWriter) { fmt.Fprint(w, "<html>") },
		"status":        func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) },
		"too large":     func(w http.ResponseWriter) { fmt.Fprint(w, strings.Repeat(" ", maxAnswerBytes+1)) },
		"changes alone": func(w http.ResponseWriter) { fmt.Fprint(w, `{"seq":9,"whole":false,"hosts":[]}`) },
		"no answer":     func(http.ResponseWriter) { time.Sleep(1500 * time.Millisecond) },
		"closed":        func(w http.ResponseWriter) { hangUp(w, "", false) },
		"reset":         func(w http.ResponseWriter) { hangUp(w, "", true) },
		"no length, reset": func(w http.ResponseWriter) {
			hangUp(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+fullList(validEntry)[:60], true)
		},
		"no length, closed": func(w http.ResponseWriter) {
			hangUp(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+fullList(validEntry)[:60], false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			discovery := startDiscovery(t, host("s-1"))
			n := 0
			discovery.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
				if n++; n <= 2 {
					spoil(w)
				}
				return n <= 2
			})
			client, received := follow(t, discovery.Addr())
			waitFor(t, "a valid list", func() bool { n, _ := received.last(); return n > 0 })
			waitFor(t, "the full list", func() bool { _, l := received.last(); return l.Full })
			if _, l := received.last(); len(l.Servers) != 1 {
				t.Errorf("%+v", l)
			}
			if _, failed := client.Counts(); failed == 0 && name != "changes alone" {
				t.Error("no request is counted as failed")
			}
		})
	}
}

// hangUp writes raw bytes to the connection of a request, then closes or resets it.
func hangUp(w http.ResponseWriter, text string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = conn.Write([]byte(text))
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

// A list is accepted in any form that HTTP and JSON allow.
func TestAnswerForms(t *testing.T) {
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(fullList(validEntry)), "", "\t"); err != nil {
		t.Fatal(err)
	}
	for name, send := range map[string]func(w http.ResponseWriter){
		"indented, chunked": func(w http.ResponseWriter) {
			for _, b := range text.Bytes() {
				_, _ = w.Write([]byte{b})
				w.(http.Flusher).Flush()
			}
		},
		"without length": func(w http.ResponseWriter) {
			hangUp(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text.String(), false)
		},
	} {
		discovery := startDiscovery(t, host("s-2"))
		discovery.Intercept(func(w http.ResponseWriter, _ *http.Request) bool { send(w); return true })
		_, received := follow(t, discovery.Addr())
		waitFor(t, name, func() bool { _, l := received.last(); return len(l.Servers) == 1 && l.Servers[0].ID == "s-1" })
	}
}

// A reload cancels the open long poll even if the address of discovery stays the same. The answer to that poll, which comes
// late and is outdated, must not be applied.
func TestSetAddressToTheSameAddress(t *testing.T) {
	discovery := startDiscovery(t, host("s-1"))
	client, received := follow(t, discovery.Addr())
	waitFor(t, "a long poll is open", func() bool { return len(discovery.Calls()) == 2 })
	release := make(chan struct{})
	discovery.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
		if req.URL.RawQuery != "" {
			<-release
			fmt.Fprint(w, `{"seq":99,"whole":true,"hosts":[]}`)
			return true
		}
		return false
	})
	discovery.SetHosts(host("s-1"), host("s-2"))
	waitFor(t, "another long poll is open", func() bool { return len(discovery.Calls()) == 3 })
	client.SetAddress(discovery.Addr())
	waitFor(t, "the full list is requested", func() bool { requests := discovery.Calls(); return len(requests) > 3 && requests[3] == "/api/targets" })
	close(release)
	waitFor(t, "further lists arrive", func() bool { n, _ := received.last(); return n > 2 })
	received.mu.Lock()
	defer received.mu.Unlock()
	for _, l := range received.lists[:3] {
		if len(l.Servers) == 0 {
			t.Errorf("%+v: the answer to a cancelled request was applied", l)
		}
	}
}

// A patient request is sent beside the others while these ask for the full list in vain, and only then.
func TestPatientRequest(t *testing.T) {
	poller := NewPoller(List{})
	needed := func() bool {
		request, needed := poller.PatientRequest()
		if request.Path != "/api/targets" || request.SilenceTimeoutS < 1.6 || request.TimeoutS > 3 {
			t.Fatalf("%+v", request)
		}
		return needed
	}
	for _, step := range []struct {
		name string
		do   func()
		want bool
	}{
		{"at the start", func() {}, false},
		{"the full list was not answered", func() { poller.HandleFailure(0.15) }, true},
		{"the full list has come", func() { poller.HandleList(List{Version: 1, Full: true}) }, false},
		{"a long poll has failed", func() { poller.HandleFailure(2.7) }, false},
		{"the full list was not answered then", func() { poller.HandleFailure(0.15) }, true},
		{"a new address", poller.Reset, false},
		{"the full list was refused", func() { poller.HandleFailure(0) }, true},
		{"changes have come in its place", func() { poller.HandleList(List{Version: 2}) }, false},
	} {
		if step.do(); needed() != step.want {
			t.Errorf("%s: needed %v, want %v", step.name, !step.want, step.want)
		}
	}
}

// While discovery accepts requests without answering, they are repeated at short intervals, so that the full list is requested
// within a quarter of a second after it answers again.
func TestRetriesOftenWhileDiscoveryIsDown(t *testing.T) {
	discovery := startDiscovery(t, host("s-1"))
	var mu sync.Mutex
	var requestTimes []time.Time
	down := true
	discovery.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
		mu.Lock()
		requestTimes = append(requestTimes, time.Now())
		silent := down
		mu.Unlock()
		if silent {
			<-req.Context().Done()
		}
		return silent
	})
	_, received := follow(t, discovery.Addr())
	waitFor(t, "requests", func() bool { mu.Lock(); defer mu.Unlock(); return len(requestTimes) >= 8 })
	mu.Lock()
	down = false
	took := requestTimes[7].Sub(requestTimes[0])
	mu.Unlock()
	if took > seconds(7*answerTimeoutS) { // the intervals are about 0.2 s, so a busy machine keeps this limit too
		t.Errorf("seven intervals took %v", took)
	}
	waitFor(t, "the list", func() bool { n, _ := received.last(); return n > 0 })
}
