package svc

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"cometpond/internal/core"
	"cometpond/internal/resp"
	"cometpond/policy"
)

func book() *Book {
	return NewBook(policy.Settings{Gateways: 4, MaxUnits: 4, RetryAfter: true,
		Classes: []policy.Class{{Name: "status", Effect: policy.Safe}, {Name: "order", Effect: policy.Keyed}, {Name: "pay", Effect: policy.Unsafe}},
		Plans:   []policy.Plan{{Name: "basic"}, {Name: "team"}}})
}

const (
	reading    = "c=status,t=team,d=480,units=2,spread=3,first=1"
	submitting = "c=order,t=basic,d=480.5,k=5c0f6e1a2b3d4c59,r=1,units=4,spread=4,first=3"
)

func words(s ...string) (args [][]byte) {
	for _, w := range s {
		args = append(args, []byte(w))
	}
	return args
}

func TestWork(t *testing.T) {
	c, err := book().Work(words("SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", reading))
	if err != nil {
		t.Fatal(err)
	}
	if c.ID != "9b1f03aa5c7e2d41" || c.Customer != "00000000b4d65521" || c.Class != 0 || c.Plan != "team" || c.TimeoutS != 0.48 || c.Units != 2 ||
		c.InstanceCount != 3 || c.FirstInstance != 1 || c.Retry || c.Key != "" {
		t.Errorf("%+v", c)
	}
	c, err = book().Work(words("SVC.SUBMIT", "00000001ffffffff", "0000000000000000", submitting, "\x00body\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Class != 1 || c.TimeoutS != 0.4805 || !c.Retry || c.Key != "" {
		t.Errorf("%+v", c)
	}
}

// Each of these is an error and no call: none of it may reach the module or a backend.
func TestWorkThatCannotBeRead(t *testing.T) {
	set := func(old, new string) []string {
		return []string{"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", strings.Replace(reading, old, new, 1)}
	}
	bad := map[string][]string{
		"other command":      {"SVC.DELETE", "00000000b4d65521", "9b1f03aa5c7e2d41", reading},
		"no words":           {"SVC.QUERY"},
		"no names":           {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41"},
		"no id":              {"SVC.QUERY", "00000000b4d65521", "", reading},
		"two bodies":         {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", reading, "a", "b"},
		"customer too short": {"SVC.QUERY", "b4d65521", "9b1f03aa5c7e2d41", reading},
		"customer at bound":  {"SVC.QUERY", "0000000200000000", "9b1f03aa5c7e2d41", reading},
		"customer no number": {"SVC.QUERY", "zz000000b4d65521", "9b1f03aa5c7e2d41", reading},
		"id too long":        {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d410", reading},
		"no names at all":    {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", ""},
		"class":              set("c=status", "c=nothing"), "class empty": set("c=status", "c="), "no class": set("c=status,", ""),
		"plan": set("t=team", "t=gold"), "no plan": set("t=team,", ""), "plan's case": set("t=team", "t=TEAM"),
		"units 0": set("units=2", "units=0"), "units over": set("units=2", "units=5"), "units below": set("units=2", "units=-1"),
		"units no number": set("units=2", "units=NaN"), "units infinite": set("units=2", "units=inf"), "units huge": set("units=2", "units=99999999999999999999"),
		"units in part": set("units=2", "units=1.5"), "units with blank": set("units=2", "units= 2"), "units sign": set("units=2", "units=+2"),
		"no units": set("units=2,", ""), "spread 0": set("spread=3", "spread=0"), "spread over": set("spread=3", "spread=5"),
		"first over": set("first=1", "first=4"), "first below": set("first=1", "first=-1"), "no first": set(",first=1", ""), "no spread": set("spread=3,", ""),
		"deadline no number": set("d=480", "d=soon"), "deadline NaN": set("d=480", "d=NaN"), "deadline infinite": set("d=480", "d=Inf"),
		"deadline 0": set("d=480", "d=0"), "deadline below": set("d=480", "d=-5"), "deadline power": set("d=480", "d=1e9"), "no deadline": set("d=480,", ""),
		"deadline hex": set("d=480", "d=0x10"), "twice": set("units=2", "units=2,units=2"), "unknown name": set("units=2", "units=2,x=1"),
		"no value": set("units=2", "units"), "comma at the end": set("first=1", "first=1,"), "two commas": set("units=2", ",units=2"),
		"key in a safe class": set("d=480", "d=480,k=5c0f6e1a2b3d4c59"), "retry": set("d=480", "d=480,r=2"),
		"safe class submitted":  {"SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", reading},
		"keyed class queried":   {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", submitting},
		"keyed without key":     {"SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", strings.Replace(submitting, "k=5c0f6e1a2b3d4c59,", "", 1)},
		"key that can't be one": {"SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", strings.Replace(submitting, "5c0f", "5c0", 1)},
	}
	for name, w := range bad {
		if c, err := book().Work(words(w...)); err == nil {
			t.Errorf("%s is taken: %+v", name, c)
		} else if strings.ContainsAny(err.Error(), "\r\n") {
			t.Errorf("%s: the error is more than a line: %q", name, err)
		}
	}
	// Cut or changed at any byte, a list is an error or another whole one, never a panic.
	for i := range len(submitting) {
		for _, text := range []string{submitting[:i], submitting[i:], submitting[:i] + "\x00" + submitting[i+1:], submitting[:i] + "=" + submitting[i:], submitting[:i] + "," + submitting[i:]} {
			c, err := book().Work(words("SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", text))
			if err == nil && (c.Units < 1 || c.Units > 4 || c.InstanceCount < 1 || c.InstanceCount > 4 || c.FirstInstance < 0 || c.FirstInstance > 3 || !(c.TimeoutS > 0)) {
				t.Errorf("%q is taken as %+v", text, c)
			}
		}
	}
}

// A backend gets the client's words unchanged but for d, which is how long this end will wait.
func TestAttempt(t *testing.T) {
	c, err := book().Work(words("SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", submitting, "body"))
	if err != nil {
		t.Fatal(err)
	}
	for left, want := range map[float64]string{0.1239: "123", 3: "3000", 0.0001: "1"} {
		args, n, _, err := resp.ParseCommand(Backends{}.AppendAttempt(nil, c.Payload, left), nil, limits)
		if err != nil || n == 0 {
			t.Fatal(err)
		}
		got := make([]string, len(args))
		for i, a := range args {
			got[i] = string(a)
		}
		if w := fmt.Sprint("SVC.SUBMIT 00000000b4d65521 9b1f03aa5c7e2d41 ", strings.Replace(submitting, "d=480.5", "d="+want, 1), " body"); strings.Join(got, " ") != w {
			t.Errorf("%v s left: %v, want %s", left, got, w)
		}
	}
}

func TestReply(t *testing.T) {
	good := resp.AppendBulk(nil, "the value")
	ok := func(rest string) string { return "*3\r\n" + string(good) + rest }
	for _, c := range []struct {
		reply   string
		status  policy.Status
		spoilt  bool
		util    float64
		payload bool
	}{
		{ok("$-1\r\n$-1\r\n"), policy.OK, false, -1, true},
		{ok(":86\r\n$26\r\ninflight=7,queue=2,util=0.61\r\n"), policy.OK, true, 0, false}, // the frame is broken: 26 for 28
		{ok(":86\r\n$28\r\ninflight=7,queue=2,util=0.61\r\n"), policy.OK, false, 0.61, true},
		{ok("$7\r\nrubbish\r\n$13\r\nutil=much,x=1\r\n"), policy.OK, false, -1, true},
		{ok("$-1\r\n$8\r\nutil=NaN\r\n"), policy.OK, false, -1, true},
		{ok("$-1\r\n$9\r\nutil=-0.5\r\n"), policy.OK, false, -1, true},
		{"*1\r\n" + string(good), 0, true, 0, false}, {"*4\r\n" + string(good) + ":1\r\n:1\r\n:1\r\n", 0, true, 0, false},
		{ok("*2\r\n:1\r\n:2\r\n:3\r\n"), policy.OK, false, -1, true},
		{"-ERR failed\r\n", policy.Error, false, -1, false},
		{"-ERR failed util=0.7\r\n", policy.Error, false, 0.7, false},
		{"-BUSY\r\n", policy.Rejected, false, -1, false},
		{"-BUSY cpu_share=0.9,pending=3\r\n", policy.Rejected, false, 0.9, false},
		{"-BUSYNESS\r\n", 0, true, 0, false}, {"-ERR failedly\r\n", 0, true, 0, false},
		{"-SYNTAX\r\n", 0, true, 0, false}, {"-ERR\r\n", 0, true, 0, false}, {"+OK\r\n", 0, true, 0, false}, {":1\r\n", 0, true, 0, false},
		{string(good), 0, true, 0, false}, {"$-1\r\n", 0, true, 0, false}, {"*-1\r\n", 0, true, 0, false}, {"*0\r\n", 0, true, 0, false},
		{"*1\r\n$-1\r\n", 0, true, 0, false}, {"*1\r\n:5\r\n", 0, true, 0, false}, {"*2\r\n*1\r\n:1\r\n:2\r\n", 0, true, 0, false},
	} {
		r, spoilt := Backends{}.ParseReply([]byte(c.reply))
		if spoilt != c.spoilt {
			t.Errorf("%q: spoilt %v", c.reply, spoilt)
			continue
		}
		if spoilt {
			continue
		}
		util := -1.0
		if r.Load != nil {
			util = r.Load.Util
		}
		if r.Status != c.status || util != c.util || c.payload != (string(r.Payload) == string(good)) {
			t.Errorf("%q: status %v, util %v, payload %q", c.reply, r.Status, util, r.Payload)
		}
	}
	if l := (Backends{}).ParseLoad([]byte("$25\r\nlatency_ms=3.5,util=0.25\r\n")); l == nil || l.Util != 0.25 || l.ServiceMS != 3.5 || l.Queue != -1 {
		t.Errorf("probe: %+v", l)
	}
	for _, s := range []string{"-NOPERM\r\n", "+PONG\r\n", "$-1\r\n", "*1\r\n:1\r\n"} {
		if l := (Backends{}).ParseLoad([]byte(s)); l != nil {
			t.Errorf("%q tells %+v", s, l)
		}
	}
}

func TestAnswer(t *testing.T) {
	mute := book()
	mute.settings.RetryAfter = false
	for _, c := range []struct {
		book *Book
		a    core.Answer
		want string
	}{
		{book(), core.Answer{Kind: core.Served, Payload: []byte("$1\r\nx\r\n")}, "$1\r\nx\r\n"},
		{book(), core.Answer{Kind: core.Refused, RetryAfterS: 0.2501}, "-BUSY 251\r\n"},
		{book(), core.Answer{Kind: core.Refused}, "-BUSY\r\n"},
		{mute, core.Answer{Kind: core.Refused, RetryAfterS: 0.25}, "-BUSY\r\n"},
		{book(), core.Answer{Kind: core.Failed, Detail: "no\r\nluck"}, "-ERR no  luck\r\n"},
	} {
		if got := NewClients(c.book).AppendReply(nil, &core.Call{Answer: c.a}); string(got) != c.want {
			t.Errorf("%+v: %q, want %q", c.a, got, c.want)
		}
	}
}

// said is a connection that keeps what becomes of a command.
type said struct {
	asked []core.Call
	text  string
}

func (s *said) Submit(c core.Call)  { s.asked = append(s.asked, c) }
func (s *said) Reply(answer []byte) { s.text += string(answer) }

func TestCommand(t *testing.T) {
	for _, c := range []struct {
		words []string
		asks  int
		text  string
	}{
		{[]string{"PING"}, 0, "+PONG\r\n"}, {[]string{"ping"}, 0, "+PONG\r\n"}, {[]string{"CLIENT", "SETNAME", "x"}, 0, "+OK\r\n"}, {[]string{"SELECT", "0"}, 0, "+OK\r\n"},
		{[]string{"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", reading}, 1, ""},
		{[]string{"HELLO", "3"}, 0, "-ERR "}, {[]string{"PING", "x"}, 0, "-ERR "}, {[]string{"FLUSHALL"}, 0, "-ERR "}, {[]string{""}, 0, "-ERR "},
	} {
		s := &said{}
		NewClients(book()).HandleCommand(s, words(c.words...))
		if len(s.asked) != c.asks || !strings.HasPrefix(s.text, c.text) || c.asks > 0 && s.text != "" {
			t.Errorf("%v: asked %d, said %q", c.words, len(s.asked), s.text)
		}
	}
}

// What is larger than a command may be is turned away at its header.
func TestLimits(t *testing.T) {
	lim := NewClients(book()).Limits()
	for _, head := range []string{"*6\r\n", "*1\r\n$65537\r\n", "*1\r\n$60000000\r\n", "*5\r\n$65536\r\n", "*2\r\n$-1\r\n", "GET\r\n"} {
		_, _, _, err := resp.ParseCommand([]byte(head), nil, lim)
		var broken resp.ProtocolError
		if whole := head == "*5\r\n$65536\r\n"; errors.As(err, &broken) == whole {
			t.Errorf("%q: %v", head, err)
		}
	}
}
