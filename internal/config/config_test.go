package config

import (
	"os"
	"strings"
	"testing"

	"cometpond/policy"
)

const example = "../../examples/one.sexp"

func TestExampleIsWhole(t *testing.T) {
	c, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.1:7379" || len(c.Servers) != 3 || len(c.Commands) != 3 || c.Clients[0].Name != "acme" ||
		c.Clients[0].SecretHash != HashSecret("acme-secret") || c.Plans[0].Rate != 10 || c.Plans[0].Burst != 20 {
		t.Fatalf("%+v", c)
	}
	if k := c.Classes[2]; k.Effect != policy.Keyed || k.KeyScope != policy.ScopeZone || k.KeyTTLS != 7.5 {
		t.Fatalf("%+v", k)
	}
	if s := c.Settings(); s.Gateways != 1 || s.PeerMessages || s.MaxUnits != 1 || len(s.Classes) != 3 {
		t.Fatalf("%+v", s)
	}
}

// Each mistake gets one error that names the line, the field and what would be right.
func TestMistakes(t *testing.T) {
	raw, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, c := range []struct{ old, new, want string }{
		{"(me 0)", "(me zero)", "one.sexp:6:7: me: zero is no number, want 0 to 1023"},
		{"(me 0)", "(me 1)", "ingress me: is 1, want the number of one of the 1 instances"},
		{"(me 0)", "(me 0.5)", "no whole number"},
		{"(zone room-a)\n  (listen", "(listen", "(zone ..) is missing"},
		{"(zone room-a)\n  (listen", "(zone room-a) (zone b)\n  (listen", "given twice"},
		{"(listen \"127.0.0.1:7379\")", "(listen \"7379\")", "no address, want host:port"},
		{"(effect safe))\n  (class image", "(effect harmless))\n  (class image", "harmless is not known, want safe or keyed or unsafe"},
		{"(aim 1s)", "(aim 1)", "1 is no time, want 1ms to 1h0m0s with a unit"},
		{"(aim 1s)", "(aim 3s)", "is after the deadline"},
		{"(key-ttl 7.5s)", "", "goes with (effect keyed)"},
		{"(key-at 1)", "", "goes with a class of (effect keyed)"},
		{"(key-at 1)", "(key-at 3)", "must name a word that always comes"},
		{"(class job-status)  (arity", "(class job)  (arity", "job is not known, want job-status or image-fetch or sign-submit"},
		{"(plan starter)\n", "(plan big)\n", "big is not known, want starter"},
		{"(rate 10) (burst 20)", "(rate 10)", "together, or neither"},
		{"(rate 10) (burst 20)", "(rate -1) (burst 20)", "out of range"},
		{"(burst 20)", "(burst 20) (colour red)", "unknown (colour ..), want one of"},
		{"(boxes", "(bokses", "unknown (bokses ..)"},
		{"(cold-from 0.19)", "(cold-from 19)", "out of range, want 0 to 1"},
		{"(secret-sha256 \"", "(secret-sha256 \"zz", "want 64 hex digits"},
		{"(rules", "(rules\n  (", "unexpected"},
		{"7402\"", "7401\"", "given twice, want each address once"},
	} {
		changed := strings.Replace(text, c.old, c.new, 1)
		if changed == text {
			t.Errorf("%q is not in the example", c.old)
			continue
		}
		if _, err := Parse("one.sexp", changed); err == nil || !strings.Contains(err.Error(), c.want) ||
			!strings.HasPrefix(err.Error(), "settings: one.sexp:") {
			t.Errorf("%q for %q: %v; want %q", c.new, c.old, err, c.want)
		}
	}
	if _, err := Parse("empty.sexp", ""); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("empty file: %v", err)
	}
	if _, err := Load("no-such.sexp"); err == nil {
		t.Error("a file that is not there")
	}
}

func TestSeveralInstances(t *testing.T) {
	raw, _ := os.ReadFile(example)
	fleet := strings.Replace(string(raw), "(boxes", `(instances (instance 0 "127.0.0.1:1") (instance 1 "127.0.0.1:2") KEY)
(boxes`, 1)
	if _, err := Parse("f", strings.Replace(fleet, "KEY", "", 1)); err == nil || !strings.Contains(err.Error(), "(key ..) is missing") {
		t.Errorf("no key: %v", err)
	}
	c, err := Parse("f", strings.Replace(fleet, "KEY", `(key "`+strings.Repeat("ab", 32)+`")`, 1))
	if err != nil || !c.Settings().PeerMessages || c.Settings().Gateways != 2 || len(c.PeerKey) != 32 {
		t.Errorf("%v %+v", err, c)
	}
	if _, err := Parse("f", strings.Replace(fleet, "(instance 1", "(instance 2", 1)); err == nil ||
		!strings.Contains(err.Error(), "numbered from 0") {
		t.Errorf("gap in numbers: %v", err)
	}
}
