package access

import (
	"strings"
	"testing"

	"cometpond/internal/config"
	"cometpond/internal/resp"
)

func newRegistry(t *testing.T) *Registry {
	t.Helper()
	cfg, err := config.Load("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Commands[1].UnitsIndex = 1 // IMAGE.FETCH units
	return New(cfg)
}

func TestLogin(t *testing.T) {
	reg := newRegistry(t)
	if client, ok := reg.Login("acme", "acme-secret"); !ok || client.Name != "acme" || client.Plan != "starter" {
		t.Fatal(client, ok)
	}
	for _, login := range [][2]string{{"acme", "acme-secreT"}, {"acme", ""}, {"nobody", "acme-secret"}, {"nobody", ""}, {"", ""}} {
		if client, ok := reg.Login(login[0], login[1]); ok || client != nil {
			t.Errorf("login as %q with %q succeeded as %v", login[0], login[1], client)
		}
	}
	if _, ok := reg.Lookup("nobody"); ok {
		t.Error("a client that does not exist was found")
	}
}

func TestParseCommand(t *testing.T) {
	reg := newRegistry(t)
	client, _ := reg.Login("acme", "acme-secret")
	words := func(s string) (out [][]byte) {
		for _, w := range strings.Split(s, " ") {
			out = append(out, []byte(w))
		}
		return out
	}
	call, known, err := reg.ParseCommand(client, words("SIGN.SUBMIT k img"))
	if err != nil || !known || call.Key != "k" || call.Units != 1 || call.Customer != "acme" || call.Plan != "starter" ||
		string(call.Payload) != string(resp.AppendCommand(nil, "SIGN.SUBMIT", "k", "img")) {
		t.Fatalf("%+v %v %v", call, known, err)
	}
	if call, _, err := reg.ParseCommand(client, words("IMAGE.FETCH 7")); err != nil || call.Units != 7 {
		t.Fatal(call.Units, err)
	}
	if _, known, err := reg.ParseCommand(client, words("NOPE 1")); known || err != nil {
		t.Fatal(known, err)
	}
	for in, want := range map[string]string{"JOB.STATUS": "wrong number of arguments for 'job.status' command", "JOB.STATUS 1 2": "wrong number",
		"IMAGE.FETCH 0": "want a whole number from 1 to 60", "IMAGE.FETCH 61": "want a whole number", "IMAGE.FETCH x": "want a whole number",
		"SIGN.SUBMIT  img": "the submission key is empty"} {
		if _, known, err := reg.ParseCommand(client, words(in)); !known || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", in, err, want)
		}
	}
}
