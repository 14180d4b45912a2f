package access

import (
	"strings"
	"testing"

	"cometpond/internal/config"
	"cometpond/internal/resp"
)

func book(t *testing.T) *Registry {
	t.Helper()
	c, err := config.Load("../../examples/one.sexp")
	if err != nil {
		t.Fatal(err)
	}
	c.Commands[1].UnitsIndex = 1 // IMAGE.FETCH units
	return New(c)
}

func TestLogin(t *testing.T) {
	b := book(t)
	if c, ok := b.Login("acme", "acme-secret"); !ok || c.Name != "acme" || c.Plan != "starter" {
		t.Fatal(c, ok)
	}
	for _, x := range [][2]string{{"acme", "acme-secreT"}, {"acme", ""}, {"nobody", "acme-secret"}, {"nobody", ""}, {"", ""}} {
		if c, ok := b.Login(x[0], x[1]); ok || c != nil {
			t.Errorf("%q with %q was let in as %v", x[0], x[1], c)
		}
	}
	if _, ok := b.Lookup("nobody"); ok {
		t.Error("nobody is known")
	}
}

func TestWork(t *testing.T) {
	b := book(t)
	c, _ := b.Login("acme", "acme-secret")
	words := func(s string) (out [][]byte) {
		for _, w := range strings.Split(s, " ") {
			out = append(out, []byte(w))
		}
		return out
	}
	call, known, err := b.ParseCommand(c, words("SIGN.SUBMIT k img"))
	if err != nil || !known || call.Key != "k" || call.Units != 1 || call.Customer != "acme" || call.Plan != "starter" ||
		string(call.Payload) != string(resp.AppendCommand(nil, "SIGN.SUBMIT", "k", "img")) {
		t.Fatalf("%+v %v %v", call, known, err)
	}
	if call, _, err := b.ParseCommand(c, words("IMAGE.FETCH 7")); err != nil || call.Units != 7 {
		t.Fatal(call.Units, err)
	}
	if _, known, err := b.ParseCommand(c, words("NOPE 1")); known || err != nil {
		t.Fatal(known, err)
	}
	for in, want := range map[string]string{"JOB.STATUS": "wrong number of arguments for 'job.status' command", "JOB.STATUS 1 2": "wrong number",
		"IMAGE.FETCH 0": "want a whole number from 1 to 60", "IMAGE.FETCH 61": "want a whole number", "IMAGE.FETCH x": "want a whole number",
		"SIGN.SUBMIT  img": "the submission key is empty"} {
		if _, known, err := b.ParseCommand(c, words(in)); !known || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", in, err, want)
		}
	}
}
