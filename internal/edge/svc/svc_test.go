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

// testParser returns a parser for settings with a class of each effect.
func testParser() *CommandParser {
	return NewCommandParser(policy.Settings{Gateways: 4, MaxUnits: 4, RetryAfter: true,
		Classes: []policy.Class{{Name: "status", Effect: policy.Safe}, {Name: "order", Effect: policy.Keyed}, {Name: "pay", Effect: policy.Unsafe}},
		Plans:   []policy.Plan{{Name: "basic"}, {Name: "team"}}})
}

const (
	queryFields  = "c=status,t=team,d=480,units=2,spread=3,first=1"
	submitFields = "c=order,t=basic,d=480.5,k=5c0f6e1a2b3d4c59,r=1,units=4,spread=4,first=3"
)

func byteArgs(s ...string) (args [][]byte) {
	for _, w := range s {
		args = append(args, []byte(w))
	}
	return args
}

func TestParse(t *testing.T) {
	call, err := testParser().Parse(byteArgs("SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", queryFields))
	if err != nil {
		t.Fatal(err)
	}
	if call.ID != "9b1f03aa5c7e2d41" || call.Customer != "00000000b4d65521" || call.Class != 0 || call.Plan != "team" || call.TimeoutS != 0.48 ||
		call.Units != 2 ||
		call.InstanceCount != 3 || call.FirstInstance != 1 || call.Retry || call.Key != "" {
		t.Errorf("%+v", call)
	}
	call, err = testParser().Parse(byteArgs("SVC.SUBMIT", "00000001ffffffff", "0000000000000000", submitFields, "\x00body\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	if call.Class != 1 || call.TimeoutS != 0.4805 || !call.Retry || call.Key != "" {
		t.Errorf("%+v", call)
	}
}

// Each malformed command gets an error. It must not reach the policy module or a server.
func TestParseRejectsMalformedCommands(t *testing.T) {
	set := func(old, new string) []string {
		return []string{"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", strings.Replace(queryFields, old, new, 1)}
	}
	bad := map[string][]string{
		"other command":      {"SVC.DELETE", "00000000b4d65521", "9b1f03aa5c7e2d41", queryFields},
		"no words":           {"SVC.QUERY"},
		"no fields":          {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41"},
		"no id":              {"SVC.QUERY", "00000000b4d65521", "", queryFields},
		"two bodies":         {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", queryFields, "a", "b"},
		"customer too short": {"SVC.QUERY", "b4d65521", "9b1f03aa5c7e2d41", queryFields},
		"customer at limit":  {"SVC.QUERY", "0000000200000000", "9b1f03aa5c7e2d41", queryFields},
		"customer not hex":   {"SVC.QUERY", "zz000000b4d65521", "9b1f03aa5c7e2d41", queryFields},
		"id too long":        {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d410", queryFields},
		"empty fields":       {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", ""},
		"class":              set("c=status", "c=nothing"), "class empty": set("c=status", "c="), "no class": set("c=status,", ""),
		"plan": set("t=team", "t=gold"), "no plan": set("t=team,", ""), "plan in upper case": set("t=team", "t=TEAM"),
		"units 0": set("units=2", "units=0"), "units too high": set("units=2", "units=5"), "units negative": set("units=2", "units=-1"),
		"units not a number": set("units=2", "units=NaN"), "units infinite": set("units=2", "units=inf"), "units huge": set("units=2", "units=99999999999999999999"),
		"units fractional": set("units=2", "units=1.5"), "units with space": set("units=2", "units= 2"), "units with sign": set("units=2", "units=+2"),
		"no units": set("units=2,", ""), "spread 0": set("spread=3", "spread=0"), "spread too high": set("spread=3", "spread=5"),
		"first too high": set("first=1", "first=4"), "first negative": set("first=1", "first=-1"), "no first": set(",first=1", ""), "no spread": set("spread=3,", ""),
		"deadline not a number": set("d=480", "d=soon"), "deadline NaN": set("d=480", "d=NaN"), "deadline infinite": set("d=480", "d=Inf"),
		"deadline 0": set("d=480", "d=0"), "deadline negative": set("d=480", "d=-5"), "deadline with exponent": set("d=480", "d=1e9"), "no deadline": set("d=480,", ""),
		"deadline hex": set("d=480", "d=0x10"), "field twice": set("units=2", "units=2,units=2"), "unknown field": set("units=2", "units=2,x=1"),
		"no value": set("units=2", "units"), "comma at the end": set("first=1", "first=1,"), "two commas": set("units=2", ",units=2"),
		"key in a safe class": set("d=480", "d=480,k=5c0f6e1a2b3d4c59"), "retry": set("d=480", "d=480,r=2"),
		"safe class submitted": {"SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", queryFields},
		"keyed class queried":  {"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", submitFields},
		"keyed without key":    {"SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", strings.Replace(submitFields, "k=5c0f6e1a2b3d4c59,", "", 1)},
		"malformed key":        {"SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", strings.Replace(submitFields, "5c0f", "5c0", 1)},
	}
	for name, w := range bad {
		if call, err := testParser().Parse(byteArgs(w...)); err == nil {
			t.Errorf("%s is accepted: %+v", name, call)
		} else if strings.ContainsAny(err.Error(), "\r\n") {
			t.Errorf("%s: the error has more than one line: %q", name, err)
		}
	}
	// A list of fields that is truncated or changed at any byte is rejected or parsed into valid values, without a panic.
	for i := range len(submitFields) {
		for _, text := range []string{submitFields[:i], submitFields[i:], submitFields[:i] + "\x00" + submitFields[i+1:],
			submitFields[:i] + "=" + submitFields[i:], submitFields[:i] + "," + submitFields[i:]} {
			call, err := testParser().Parse(byteArgs("SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", text))
			if err == nil && (call.Units < 1 || call.Units > 4 || call.InstanceCount < 1 || call.InstanceCount > 4 || call.FirstInstance < 0 || call.FirstInstance > 3 ||
				!(call.TimeoutS > 0)) {
				t.Errorf("%q is accepted as %+v", text, call)
			}
		}
	}
}

// A server gets the words of the client unchanged, except that d is the time for which the ingress waits.
func TestAppendAttempt(t *testing.T) {
	call, err := testParser().Parse(byteArgs("SVC.SUBMIT", "00000000b4d65521", "9b1f03aa5c7e2d41", submitFields, "body"))
	if err != nil {
		t.Fatal(err)
	}
	for remainingS, want := range map[float64]string{0.1239: "123", 3: "3000", 0.0001: "1"} {
		args, n, _, err := resp.ParseCommand(ServerProtocol{}.AppendAttempt(nil, call.Payload, remainingS), nil, limits)
		if err != nil || n == 0 {
			t.Fatal(err)
		}
		got := make([]string, len(args))
		for i, arg := range args {
			got[i] = string(arg)
		}
		if command := fmt.Sprint("SVC.SUBMIT 00000000b4d65521 9b1f03aa5c7e2d41 ", strings.Replace(submitFields, "d=480.5", "d="+want, 1), " body"); strings.Join(got, " ") != command {
			t.Errorf("%v s remaining: %v, want %s", remainingS, got, command)
		}
	}
}

func TestReply(t *testing.T) {
	good := resp.AppendBulk(nil, "the value")
	ok := func(rest string) string { return "*3\r\n" + string(good) + rest }
	for _, test := range []struct {
		reply     string
		status    policy.Status
		malformed bool
		util      float64
		payload   bool // the result's payload is the value
	}{
		{ok("$-1\r\n$-1\r\n"), policy.OK, false, -1, true},
		{ok(":86\r\n$26\r\ninflight=7,queue=2,util=0.61\r\n"), policy.OK, true, 0, false}, // the length of the last element is 26 instead of 28
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
		result, malformed := ServerProtocol{}.ParseReply([]byte(test.reply))
		if malformed != test.malformed {
			t.Errorf("%q: malformed %v", test.reply, malformed)
			continue
		}
		if malformed {
			continue
		}
		util := -1.0
		if result.Load != nil {
			util = result.Load.Util
		}
		if result.Status != test.status || util != test.util || test.payload != (string(result.Payload) == string(good)) {
			t.Errorf("%q: status %v, util %v, payload %q", test.reply, result.Status, util, result.Payload)
		}
	}
	if load := (ServerProtocol{}).ParseLoad([]byte("$25\r\nlatency_ms=3.5,util=0.25\r\n")); load == nil || load.Util != 0.25 || load.ServiceMS != 3.5 || load.Queue != -1 {
		t.Errorf("probe: %+v", load)
	}
	for _, reply := range []string{"-NOPERM\r\n", "+PONG\r\n", "$-1\r\n", "*1\r\n:1\r\n"} {
		if load := (ServerProtocol{}).ParseLoad([]byte(reply)); load != nil {
			t.Errorf("%q is parsed as the load %+v", reply, load)
		}
	}
}

func TestAnswer(t *testing.T) {
	noRetryAfter := testParser()
	noRetryAfter.settings.RetryAfter = false
	for _, test := range []struct {
		parser *CommandParser
		answer core.Answer
		want   string
	}{
		{testParser(), core.Answer{Kind: core.Served, Payload: []byte("$1\r\nx\r\n")}, "$1\r\nx\r\n"},
		{testParser(), core.Answer{Kind: core.Refused, RetryAfterS: 0.2501}, "-BUSY 251\r\n"},
		{testParser(), core.Answer{Kind: core.Refused}, "-BUSY\r\n"},
		{noRetryAfter, core.Answer{Kind: core.Refused, RetryAfterS: 0.25}, "-BUSY\r\n"},
		{testParser(), core.Answer{Kind: core.Failed, Detail: "no\r\nluck"}, "-ERR no  luck\r\n"},
	} {
		if got := NewClientProtocol(test.parser).AppendReply(nil, &core.Call{Answer: test.answer}); string(got) != test.want {
			t.Errorf("%+v: %q, want %q", test.answer, got, test.want)
		}
	}
}

// recordingConn is a connection that records the requests and the immediate answers.
type recordingConn struct {
	requests []core.Call
	text     string
}

func (conn *recordingConn) Submit(c core.Call)  { conn.requests = append(conn.requests, c) }
func (conn *recordingConn) Reply(answer []byte) { conn.text += string(answer) }

func TestCommand(t *testing.T) {
	for _, test := range []struct {
		words    []string
		requests int
		text     string
	}{
		{[]string{"PING"}, 0, "+PONG\r\n"}, {[]string{"ping"}, 0, "+PONG\r\n"}, {[]string{"CLIENT", "SETNAME", "x"}, 0, "+OK\r\n"}, {[]string{"SELECT", "0"}, 0, "+OK\r\n"},
		{[]string{"SVC.QUERY", "00000000b4d65521", "9b1f03aa5c7e2d41", queryFields}, 1, ""},
		{[]string{"HELLO", "3"}, 0, "-ERR "}, {[]string{"PING", "x"}, 0, "-ERR "}, {[]string{"FLUSHALL"}, 0, "-ERR "}, {[]string{""}, 0, "-ERR "},
	} {
		conn := &recordingConn{}
		NewClientProtocol(testParser()).HandleCommand(conn, byteArgs(test.words...))
		if len(conn.requests) != test.requests || !strings.HasPrefix(conn.text, test.text) || test.requests > 0 && conn.text != "" {
			t.Errorf("%v: %d requests, answered %q", test.words, len(conn.requests), conn.text)
		}
	}
}

// A command that exceeds the limits is rejected by its headers alone.
func TestLimits(t *testing.T) {
	lim := NewClientProtocol(testParser()).Limits()
	for _, header := range []string{"*6\r\n", "*1\r\n$65537\r\n", "*1\r\n$60000000\r\n", "*5\r\n$65536\r\n", "*2\r\n$-1\r\n", "GET\r\n"} {
		_, _, _, err := resp.ParseCommand([]byte(header), nil, lim)
		var protocolErr resp.ProtocolError
		if allowed := header == "*5\r\n$65536\r\n"; errors.As(err, &protocolErr) == allowed {
			t.Errorf("%q: %v", header, err)
		}
	}
}
