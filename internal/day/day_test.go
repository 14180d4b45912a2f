package day

import (
	"context"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/audit"
	"cometpond/internal/config"
	"cometpond/internal/instance"
)

// The test binary stands in for the program: as a child it runs one instance.
func TestMain(m *testing.M) {
	if file := os.Getenv("COMETPOND_DAY_FILE"); file != "" {
		if err := child(file, os.Getenv("COMETPOND_DAY_SABOTAGE")); err != nil {
			os.Stderr.WriteString(err.Error() + "\n")
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func child(file, sabotage string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	opt := instance.Options{Log: zerolog.Nop(), Seed: 1}
	if sabotage != "" {
		if opt.Hooks, err = ViolationHooks(sabotage); err != nil {
			return err
		}
	}
	in, err := instance.Start(ctx, cfg, opt)
	if err != nil {
		return err
	}
	<-ctx.Done()
	in.Stop(context.Background())
	return nil
}

func playText(t *testing.T, text, sabotage, front string) *audit.Result {
	t.Helper()
	s, err := parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	v, err := Run(context.Background(), s, Options{Log: zerolog.Nop(), Front: front, Slack: 1500 * time.Millisecond, Output: os.Stderr,
		Serve: func(file string) *exec.Cmd {
			c := exec.Command(os.Args[0], "-test.run=none")
			c.Env = append(os.Environ(), "COMETPOND_DAY_FILE="+file, "COMETPOND_DAY_SABOTAGE="+sabotage)
			return c
		}})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// A short day with instances killed mid-request, a dark room and a drain keeps all rules.
func TestDayKeepsTheRules(t *testing.T) {
	v := playText(t, `(day (for 9s) (rate 80) (boxes 6)
		(at 1s (kill 1) (for 800ms)) (at 1.5s (flood 6) (for 2s)) (at 2s (dark 1) (for 2s)) (at 3s (split 3) (for 1s))
		(at 4s (drain 1) (for 4s)) (at 5s (kill 0) (for 500ms)) (at 6s (silent 1) (for 1s)) (at 6.5s (reset 2)))`, "", "both")
	for r, list := range v.Violations {
		if len(list) > 0 {
			t.Errorf("rule %q: %s", audit.Rule(r), strings.Join(list[:min(5, len(list))], "; "))
		}
	}
	served := 0
	for _, g := range v.Groups {
		served += g.Outcomes[audit.Served]
	}
	if v.Requests < 400 || served < 200 {
		t.Errorf("%d requests, %d served: too few to prove anything", v.Requests, served)
	}
}

// Each rule that is broken on purpose is found, and no other is named.
func TestSabotageIsFound(t *testing.T) {
	for rule, script := range map[audit.Rule]string{
		audit.DrainsKept:             `(day (for 7s) (rate 60) (boxes 6) (at 500ms (drain 3) (for 6.4s)))`,
		audit.NoEffectTwice:          `(day (for 3s) (rate 60) (boxes 6))`,
		audit.NoRequestLost:          `(day (for 3s) (rate 60) (boxes 6))`,
		audit.CeilingsKept:           `(day (for 5s) (rate 60) (boxes 48) (at 500ms (flood 12) (for 4s)))`,
		audit.NoColdServerOverloaded: `(day (for 6s) (rate 200) (boxes 24) (at 500ms (dark 1) (for 1s)))`,
	} {
		t.Run(audit.ShortNames[rule], func(t *testing.T) {
			t.Parallel()
			v := playText(t, script, audit.ShortNames[rule], "both")
			for r, list := range v.Violations {
				if (len(list) > 0) != (audit.Rule(r) == rule) {
					t.Errorf("rule %q broken %d times: %v", audit.Rule(r), len(list), list[:min(3, len(list))])
				}
			}
		})
	}
}

// A front that loses input, as it once did, is found on a day whose streams come in pieces; on a day without
// them it is not, which is why the built-in day has them all through.
func TestLostInputIsFound(t *testing.T) {
	t.Parallel()
	v := playText(t, `(day (for 3s) (rate 60) (boxes 6) (at 10ms (pieces 4096) (for 3s)))`, "input", "resp")
	if len(v.Violations[audit.NoRequestLost]) == 0 {
		t.Error("no request was lost by a front that throws heads of commands away")
	}
}

// Streams in pieces and held, connections severed and instances that stand still, alone and all at once, with
// drains told meanwhile: all rules are kept.
func TestDayOfWireAndStalls(t *testing.T) {
	t.Parallel()
	v := playText(t, `(day (for 12s) (rate 80) (boxes 6) (at 10ms (pieces 65536) (for 12s))
		(at 1s (stall 0) (for 300ms)) (at 1.5s (sever 1)) (at 2s (stall 1) (for 3s)) (at 2.2s (drain 1) (for 8s))
		(at 3s (hold 2) (for 1s)) (at 6s (stall 0) (for 1s)) (at 6s (stall 1) (for 1s)) (at 6s (stall 2) (for 1s))
		(at 8s (hold-boxes 2) (for 1s)) (at 9.5s (trickle 400000) (for 1s)) (at 11s (reset 2)))`, "", "resp")
	for r, list := range v.Violations {
		if len(list) > 0 {
			t.Errorf("rule %q: %s", audit.Rule(r), strings.Join(list[:min(5, len(list))], "; "))
		}
	}
	if v.Requests < 500 {
		t.Errorf("%d requests: too few to prove anything", v.Requests)
	}
}

func TestScripts(t *testing.T) {
	if s := Builtin(); s.Duration > 45*time.Second || len(s.Faults) < 10 {
		t.Errorf("the built-in day: %v, %d troubles", s.Duration, len(s.Faults))
	}
	for text, want := range map[string]string{
		`(day (at 1s (kill 0)))`:            "lasts, want (for TIME) with it",
		`(day (at 1s (reset 1) (for 1s)))`:  "is over at once",
		`(day (at 1s (quake 1)))`:           "unknown trouble (quake ..), want one of: age burst",
		`(day (at 1s (kill 9) (for 1s)))`:   "there is none of that number",
		`(day (at 1s (slow 0.1) (for 1s)))`: "out of range",
		`(day (rate 0))`:                    "out of range",
		`(night)`:                           "want one (day ..)",
		`(day (at 1 (reset 1)))`:            "is no time",
	} {
		if _, err := parse("test", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	s, err := parse("test", `(day (for 10s) (at 4s (slow 2) (for 2s)))`)
	if err != nil {
		t.Fatal(err)
	}
	if s.ScaleTo(5 * time.Second); s.Faults[0].At != 2*time.Second || s.Faults[0].Duration != time.Second {
		t.Errorf("stretched: %+v", s.Faults[0])
	}
}

func TestFromBench(t *testing.T) {
	path := filepath.Join(t.TempDir(), "day.json")
	text := `{"length":40000000,"zones":["a","b"],"servers":[{"zone":0},{"zone":1},{"zone":0},{"zone":1}],
		"balancers":[{"zone":0},{"zone":1},{"zone":0}],"troubles":[
		{"kind":"shared_slow","at":2000000,"len":3000000,"size":2.2},{"kind":"zone_loss","at":1000000,"len":3000000,"which":1},
		{"kind":"balancer_roll","at":5000000,"len":6000000,"size":0.9},{"kind":"vanish","at":9000000,"len":1000000,"on":[1,2]},
		{"kind":"moon","at":1,"len":1}]}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, notes, err := FromBench(path)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range s.Faults {
		got = append(got, e.Kind)
	}
	if strings.Join(got, " ") != "dark slow kill kill kill silent" || s.Faults[5].Size != 6 || s.Duration != 40*time.Second {
		t.Errorf("%+v", s.Faults)
	}
	if len(notes) != 1 || !strings.Contains(notes[0], "moon") {
		t.Errorf("notes %v", notes)
	}
	if _, _, err := FromBench(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file")
	}
}
