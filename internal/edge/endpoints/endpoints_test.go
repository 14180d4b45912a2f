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

const entry = `{"host":"s-1","dial":"10.1.0.18:6379","site":"a","class":"m2","block":3,"health":"SERVING","share":0.5,"born_ms":1500}`

func list(entries ...string) string {
	return `{"seq":41,"whole":true,"hosts":[` + strings.Join(entries, ",") + `],"later":1}`
}

func TestParse(t *testing.T) {
	l, err := Parse([]byte(list(entry, `{"host":"s-2","health":"DELETED"}`)))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Server{ID: "s-1", Zone: "a", Cell: 3, State: policy.Up, Weight: 0.5, StartedAt: 1.5}
	if l.Seq != 41 || !l.Whole || len(l.Servers) != 2 || l.Servers[0] != want || l.Servers[1].State != policy.Removed || l.Dial["s-1"] != "10.1.0.18:6379" {
		t.Fatalf("%+v", l)
	}
	whole := list(entry)
	for i := range len(whole) { // half an answer is none
		if _, err := Parse([]byte(whole[:i])); err == nil {
			t.Errorf("cut at %d it is taken: %q", i, whole[:i])
		}
	}
	for _, bad := range []string{"null", "[]", `"x"`, `{"whole":true,"hosts":[]}`, `{"seq":-1,"whole":true}`, `{"seq":1.5,"whole":true}`, `{"seq":"1","whole":true}`,
		`{"seq":1,"whole":1}`, `{"seq":1,"hosts":{}}`,
		list(strings.Replace(entry, "SERVING", "UP", 1)), list(strings.Replace(entry, `"s-1"`, `""`, 1)), list(strings.Replace(entry, `"s-1"`, `5`, 1)),
		list(strings.Replace(entry, ":6379", "", 1)), list(strings.Replace(entry, ":6379", ":0", 1)), list(strings.Replace(entry, ":6379", ":70000", 1)),
		list(strings.Replace(entry, "10.1.0.18", "backend.example", 1)), list(strings.Replace(entry, `"block":3`, `"block":"3"`, 1)),
		list(entry + strings.Repeat(","+entry, mostHosts))} {
		if l, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%.80q is taken: %d entries", bad, len(l.Servers))
		}
	}
}

// The watch goes on at once after an answer, asks for the whole list where changes may have been missed, and backs off.
func TestWatch(t *testing.T) {
	w := NewWatch(List{})
	if c := w.Next(); c.Path != "/api/targets" || c.WaitS != 0 || c.TimeoutS <= 0 {
		t.Fatalf("first: %+v", c)
	}
	if w.Answered(List{Seq: 3}); w.Next().Path != "/api/targets" || w.Next().WaitS <= 0 {
		t.Fatalf("changes where the whole list was asked for: %+v, want it asked for again after a pause", w.Next())
	}
	w.Answered(List{Seq: 4, Whole: true})
	c := w.Next()
	if c.Path != "/api/targets?since=4&timeout_ms=2000" || c.WaitS != 0 || c.TimeoutS < 2 {
		t.Fatalf("watch: %+v", c)
	}
	if w.Answered(List{Seq: 5}); !strings.Contains(w.Next().Path, "since=5") {
		t.Fatal("changes are not used")
	}
	w.Failed()
	if c := w.Next(); c.WaitS <= 0 || c.WaitS >= 0.1 || c.Path != "/api/targets" {
		t.Fatalf("after a failure: %+v", c)
	}
	for n := range 100 { // discovery is down: what it has at its return counts at once
		w.Failed()
		c := w.Next()
		if c.Path != "/api/targets" || c.WaitS < 0.01 || c.FirstS > c.TimeoutS || n < 35 && c.WaitS+c.FirstS > 0.21 || c.WaitS+c.FirstS > 1 {
			t.Fatalf("after %d failures: %+v", n+2, c)
		}
	}
	w.Answered(List{Seq: 6, Whole: true})
	if w.Restart(); w.Next().Path != "/api/targets" || w.Next().WaitS != 0 {
		t.Fatal("a new source is not asked for its whole list at once")
	}
}

// Every order of up to three calls that bring nothing, each ending as late as it can, behind a change that discovery has and
// could tell: the call that brings the change is answered in time. An order begins with the watch that is open at the change,
// with a call for the whole list, or with the longest pause; or with a move, where nothing is open.
func TestEveryOrderOfFailuresIsInTime(t *testing.T) {
	const silent, refused, reset, ended, half, changes = 0, 1, 2, 3, 4, 5 // ways in which a call brings nothing
	elapse := func(w *Watch, how int) float64 {
		c := w.Next()
		took := c.WaitS
		switch how {
		case silent: // as late as the call would be given up
			took += c.FirstS
		case reset, ended, half:
			took += c.TimeoutS
		case refused:
			took += connectS
		}
		if how == changes {
			w.Answered(List{Seq: 9})
		} else {
			w.Failed()
		}
		return took
	}
	fresh := func() *Watch { w := NewWatch(List{}); w.Answered(List{Seq: 1, Whole: true}); return w }
	starts := map[string]func() (*Watch, float64){
		"watch": func() (*Watch, float64) { return fresh(), 0 },
		"whole": func() (*Watch, float64) { w := fresh(); w.Failed(); return w, -w.Next().WaitS }, // it has just gone out
		"pause": func() (*Watch, float64) {
			w := fresh()
			for range 60 {
				w.Failed()
			}
			return w, 0
		},
		"move": func() (*Watch, float64) { w := fresh(); w.Restart(); return w, 0 },
	}
	for name, start := range starts {
		most := map[string]float64{"move": 4}[name]
		if most == 0 {
			most = 6
		}
		var try func(order []int)
		try = func(order []int) {
			w, at := start()
			for _, how := range order {
				at += elapse(w, how)
			}
			c := w.Next()
			if at += c.WaitS + answerS; at >= most {
				t.Errorf("%s, then %v: known after %.2f s, want less than %v", name, order, at, most)
			}
			if strings.Contains(c.Path, "since") && len(order) > 0 {
				t.Errorf("%s, then %v: asks %s, want the whole list", name, order, c.Path)
			}
			if len(order) < 3 {
				for how := silent; how <= changes; how++ {
					if how != changes || !strings.Contains(c.Path, "since") { // to a watch they are an answer
						try(append(order[:len(order):len(order)], how))
					}
				}
			}
		}
		try(nil)
	}
}

// A list of a lower version does not bring back what drains or is gone, unless it has started anew; but it is not ignored:
// a discovery that counts anew is followed from there.
func TestLowerVersion(t *testing.T) {
	at := func(id string, s policy.ServerState, since float64) policy.Server {
		return policy.Server{ID: id, State: s, StartedAt: since}
	}
	states := func(l List) (text string) {
		for _, s := range l.Servers {
			text += fmt.Sprint(s.ID, s.State, " ")
		}
		return text
	}
	w := NewWatch(List{Seq: 40, Whole: true, Servers: []policy.Server{at("a", policy.Up, 1), at("b", policy.Up, 1), at("c", policy.Up, 1), at("d", policy.Up, 1)}})
	w.Answered(List{Seq: 41, Whole: true, Servers: []policy.Server{at("a", policy.Draining, 1), at("b", policy.Up, 1), at("d", policy.Draining, 1)}}) // c is gone
	old := List{Seq: 3, Whole: true, Servers: []policy.Server{at("a", policy.Up, 1), at("b", policy.Up, 1), at("c", policy.Up, 1), at("d", policy.Up, 7), at("e", policy.Up, 0)}}
	if got := states(w.Answered(old)); got != "a1 b0 c1 d0 e0 " {
		t.Errorf("of a lower version it takes %s", got)
	}
	if c := w.Next(); !strings.Contains(c.Path, "since=3&") {
		t.Errorf("it goes on with %s", c.Path)
	}
	if got := states(w.Answered(List{Seq: 4, Servers: []policy.Server{at("a", policy.Up, 1), at("b", policy.Draining, 1)}})); got != "a0 b1 " {
		t.Errorf("of the next version it takes %s", got)
	}
	if got := states(w.Answered(List{Seq: 2, Servers: []policy.Server{at("b", policy.Up, 1)}})); got != "b1 " || w.Next().Path != "/api/targets" {
		t.Errorf("changes of a lower version: %s, then %s", got, w.Next().Path)
	}
	if got := states(w.Answered(List{Seq: 2, Whole: true})); got != "" || len(w.hosts) == 0 {
		t.Errorf("an empty whole list: %s", got)
	}
	for i := range 5 * mostHosts {
		w.Answered(List{Seq: uint64(10 + i), Whole: true, Servers: []policy.Server{at(fmt.Sprint("x", i), policy.Up, 0)}})
	}
	if len(w.hosts) > 2*mostHosts {
		t.Errorf("%d backends kept", len(w.hosts))
	}
}

// kept takes lists.
type kept struct {
	mu    sync.Mutex
	lists []List
}

func (k *kept) List(l List) { k.mu.Lock(); k.lists = append(k.lists, l); k.mu.Unlock() }

func (k *kept) last() (n int, l List) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n = len(k.lists); n > 0 {
		l = k.lists[n-1]
	}
	return n, l
}

func host(id string) standin.PlatformHost {
	return standin.PlatformHost{Host: id, Dial: "127.0.0.1:9", Site: "a", Health: "SERVING", Share: 1}
}

func roster(t *testing.T, hosts ...standin.PlatformHost) *standin.PlatformDiscovery {
	t.Helper()
	r, err := standin.NewPlatformDiscovery(hosts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func follow(t *testing.T, addr string) (*Client, *kept) {
	t.Helper()
	k := &kept{}
	c := NewClient(addr, List{}, k, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Add(1)
	go func() { defer work.Done(); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); work.Wait() })
	return c, k
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in 20 s: %s", what)
		}
	}
}

// Changes come by the watch, and a new address brings its whole list at once although the old one says nothing.
func TestFollowsAndMoves(t *testing.T) {
	a, b := roster(t, host("s-1")), roster(t, host("s-9"))
	c, k := follow(t, a.Addr())
	until(t, "first list", func() bool { n, _ := k.last(); return n == 1 })
	a.SetHosts(host("s-1"), host("s-2"))
	until(t, "the change", func() bool { _, l := k.last(); return len(l.Servers) == 2 })
	c.Move(b.Addr())
	until(t, "the list of the new address", func() bool { _, l := k.last(); return l.Whole && len(l.Servers) == 1 && l.Servers[0].ID == "s-9" })
	if calls := b.Calls(); calls[0] != "/api/targets" {
		t.Errorf("the new address is first asked %s", calls[0])
	}
}

// Answers that are no list leave the old one; the next good one counts.
func TestBadAnswers(t *testing.T) {
	for name, spoil := range map[string]func(w http.ResponseWriter){
		"half an answer": func(w http.ResponseWriter) { w.Header().Set("Content-Length", "500"); fmt.Fprint(w, `{"seq":1,`) },
		"no JSON":        func(w http.ResponseWriter) { fmt.Fprint(w, "<html>") },
		"status":         func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) },
		"huge":           func(w http.ResponseWriter) { fmt.Fprint(w, strings.Repeat(" ", mostBytes+1)) },
		"changes alone":  func(w http.ResponseWriter) { fmt.Fprint(w, `{"seq":9,"whole":false,"hosts":[]}`) },
		"silence":        func(http.ResponseWriter) { time.Sleep(1500 * time.Millisecond) },
		"ends":           func(w http.ResponseWriter) { ending(w, "", false) },
		"reset":          func(w http.ResponseWriter) { ending(w, "", true) },
		"no length, reset": func(w http.ResponseWriter) {
			ending(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list(entry)[:60], true)
		},
		"no length, ends": func(w http.ResponseWriter) {
			ending(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list(entry)[:60], false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster(t, host("s-1"))
			n := 0
			r.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
				if n++; n <= 2 {
					spoil(w)
				}
				return n <= 2
			})
			c, k := follow(t, r.Addr())
			until(t, "a good list", func() bool { n, _ := k.last(); return n > 0 })
			until(t, "the whole list", func() bool { _, l := k.last(); return l.Whole })
			if _, l := k.last(); len(l.Servers) != 1 {
				t.Errorf("%+v", l)
			}
			if _, failed := c.Counts(); failed == 0 && name != "changes alone" {
				t.Error("nothing is counted as failed")
			}
		})
	}
}

// ending says something on a call's connection and ends it, or resets it.
func ending(w http.ResponseWriter, text string, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = c.Write([]byte(text))
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// A list in any of the forms that HTTP and JSON allow is the same list.
func TestForms(t *testing.T) {
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(list(entry)), "", "\t"); err != nil {
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
			ending(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text.String(), false)
		},
	} {
		r := roster(t, host("s-2"))
		r.Intercept(func(w http.ResponseWriter, _ *http.Request) bool { send(w); return true })
		_, k := follow(t, r.Addr())
		until(t, name, func() bool { _, l := k.last(); return len(l.Servers) == 1 && l.Servers[0].ID == "s-1" })
	}
}

// The watch that is open when the configuration comes anew is given up, though the address stays: its late answer, of what was
// true before, comes to nothing.
func TestMoveToTheSameAddress(t *testing.T) {
	r := roster(t, host("s-1"))
	c, k := follow(t, r.Addr())
	until(t, "a watch is open", func() bool { return len(r.Calls()) == 2 })
	open := make(chan struct{})
	r.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
		if req.URL.RawQuery != "" {
			<-open
			fmt.Fprint(w, `{"seq":99,"whole":true,"hosts":[]}`)
			return true
		}
		return false
	})
	r.SetHosts(host("s-1"), host("s-2"))
	until(t, "another watch is open", func() bool { return len(r.Calls()) == 3 })
	c.Move(r.Addr())
	until(t, "the whole list is asked for", func() bool { calls := r.Calls(); return len(calls) > 3 && calls[3] == "/api/targets" })
	close(open)
	until(t, "lists go on", func() bool { n, _ := k.last(); return n > 2 })
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.lists[:3] {
		if len(l.Servers) == 0 {
			t.Errorf("%+v: the answer to a call that was given up", l)
		}
	}
}

// Discovery takes calls and says nothing, then is back: the whole list is asked for within a quarter of a second.
func TestAsksOftenWhileItIsDown(t *testing.T) {
	r := roster(t, host("s-1"))
	var mu sync.Mutex
	var asked []time.Time
	down := true
	r.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
		mu.Lock()
		asked = append(asked, time.Now())
		silent := down
		mu.Unlock()
		if silent {
			<-req.Context().Done()
		}
		return silent
	})
	_, k := follow(t, r.Addr())
	until(t, "calls", func() bool { mu.Lock(); defer mu.Unlock(); return len(asked) >= 8 })
	mu.Lock()
	down = false
	took := asked[7].Sub(asked[0])
	mu.Unlock()
	if took > seconds(7*answerS) { // far from a limit that a busy machine could reach
		t.Errorf("seven calls took %v", took)
	}
	until(t, "the list", func() bool { n, _ := k.last(); return n > 0 })
}
