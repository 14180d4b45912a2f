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

// TestMain runs one instance if the test binary is started as a child process, in place of the program.
func TestMain(m *testing.M) {
	if file := os.Getenv("COMETPOND_DAY_FILE"); file != "" {
		if err := runInstance(file, os.Getenv("COMETPOND_DAY_SABOTAGE")); err != nil {
			os.Stderr.WriteString(err.Error() + "\n")
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func runInstance(file, sabotage string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	cfg, err := config.Load(file)
	if err != nil {
		return err
	}
	options := instance.Options{Log: zerolog.Nop(), Seed: 1}
	if sabotage != "" {
		if options.Hooks, err = ViolationHooks(sabotage); err != nil {
			return err
		}
	}
	running, err := instance.Start(ctx, cfg, options)
	if err != nil {
		return err
	}
	<-ctx.Done()
	running.Stop(context.Background())
	return nil
}

func runScript(t *testing.T, text, sabotage, front string) *audit.Result {
	t.Helper()
	script, err := parse("test", text)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), script, Options{Log: zerolog.Nop(), Front: front, Slack: 1500 * time.Millisecond,
		Output: os.Stderr,
		Serve: func(file string) *exec.Cmd {
			cmd := exec.Command(os.Args[0], "-test.run=none")
			cmd.Env = append(os.Environ(), "COMETPOND_DAY_FILE="+file, "COMETPOND_DAY_SABOTAGE="+sabotage)
			return cmd
		}})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// All rules are kept in a short scenario in which instances are killed during requests, a zone is lost and a server
// drains.
func TestScenarioKeepsRules(t *testing.T) {
	result := runScript(t, `(day (for 9s) (rate 80) (boxes 6)
		(at 1s (kill 1) (for 800ms)) (at 1.5s (flood 6) (for 2s)) (at 2s (dark 1) (for 2s)) (at 3s (split 3) (for 1s))
		(at 4s (drain 1) (for 4s)) (at 5s (kill 0) (for 500ms)) (at 6s (silent 1) (for 1s)) (at 6.5s (reset 2)))`, "", "both")
	for rule, list := range result.Violations {
		if len(list) > 0 {
			t.Errorf("rule %q: %s", audit.Rule(rule), strings.Join(list[:min(5, len(list))], "; "))
		}
	}
	served := 0
	for _, group := range result.Groups {
		served += group.Outcomes[audit.Served]
	}
	if result.Requests < 400 || served < 200 {
		t.Errorf("%d requests, %d served: too few for a meaningful result", result.Requests, served)
	}
}

// Each rule that is violated on purpose is reported, and no other rule is.
func TestViolationsAreReported(t *testing.T) {
	for rule, script := range map[audit.Rule]string{
		audit.DrainsKept:             `(day (for 7s) (rate 60) (boxes 6) (at 500ms (drain 3) (for 6.4s)))`,
		audit.NoEffectTwice:          `(day (for 3s) (rate 60) (boxes 6))`,
		audit.NoRequestLost:          `(day (for 3s) (rate 60) (boxes 6))`,
		audit.CeilingsKept:           `(day (for 5s) (rate 60) (boxes 48) (at 500ms (flood 12) (for 4s)))`,
		audit.NoColdServerOverloaded: `(day (for 6s) (rate 200) (boxes 24) (at 500ms (dark 1) (for 1s)))`,
	} {
		t.Run(audit.ShortNames[rule], func(t *testing.T) {
			t.Parallel()
			result := runScript(t, script, audit.ShortNames[rule], "both")
			for violated, list := range result.Violations {
				if (len(list) > 0) != (audit.Rule(violated) == rule) {
					t.Errorf("rule %q broken %d times: %v", audit.Rule(violated), len(list), list[:min(3, len(list))])
				}
			}
		})
	}
}

// Guards against a fault that the front once had: it discarded the beginning of a command that arrived in pieces. The
// fault shows only in a scenario that cuts streams into pieces, so the built-in scenario does this throughout.
func TestLostInputIsReported(t *testing.T) {
	t.Parallel()
	result := runScript(t, `(day (for 3s) (rate 60) (boxes 6) (at 10ms (pieces 4096) (for 3s)))`, "input", "resp")
	if len(result.Violations[audit.NoRequestLost]) == 0 {
		t.Error("no lost request was reported for a front that discards the beginnings of commands")
	}
}

// All rules are kept while streams are cut into pieces and held, connections are reset and instances are paused, one
// at a time and all at once, and servers drain meanwhile.
func TestNetworkFaultsAndPauses(t *testing.T) {
	t.Parallel()
	result := runScript(t, `(day (for 12s) (rate 80) (boxes 6) (at 10ms (pieces 65536) (for 12s))
		(at 1s (stall 0) (for 300ms)) (at 1.5s (sever 1)) (at 2s (stall 1) (for 3s)) (at 2.2s (drain 1) (for 8s))
		(at 3s (hold 2) (for 1s)) (at 6s (stall 0) (for 1s)) (at 6s (stall 1) (for 1s)) (at 6s (stall 2) (for 1s))
		(at 8s (hold-boxes 2) (for 1s)) (at 9.5s (trickle 400000) (for 1s)) (at 11s (reset 2)))`, "", "resp")
	for rule, list := range result.Violations {
		if len(list) > 0 {
			t.Errorf("rule %q: %s", audit.Rule(rule), strings.Join(list[:min(5, len(list))], "; "))
		}
	}
	if result.Requests < 500 {
		t.Errorf("%d requests: too few for a meaningful result", result.Requests)
	}
}

func TestScripts(t *testing.T) {
	if script := Builtin(); script.Duration > 45*time.Second || len(script.Faults) < 10 {
		t.Errorf("built-in scenario: %v, %d faults", script.Duration, len(script.Faults))
	}
	for text, want := range map[string]string{
		`(day (at 1s (kill 0)))`:            "has a duration, want (for TIME)",
		`(day (at 1s (reset 1) (for 1s)))`:  "is over at once, want no (for TIME)",
		`(day (at 1s (quake 1)))`:           "unknown fault (quake ..), want one of: age burst",
		`(day (at 1s (kill 9) (for 1s)))`:   "no instance or zone has this number",
		`(day (at 1s (slow 0.1) (for 1s)))`: "out of range",
		`(day (rate 0))`:                    "out of range",
		`(night)`:                           "want one (day ..)",
		`(day (at 1 (reset 1)))`:            "is no time",
	} {
		if _, err := parse("test", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	script, err := parse("test", `(day (for 10s) (at 4s (slow 2) (for 2s)))`)
	if err != nil {
		t.Fatal(err)
	}
	if script.ScaleTo(5 * time.Second); script.Faults[0].At != 2*time.Second || script.Faults[0].Duration != time.Second {
		t.Errorf("stretched: %+v", script.Faults[0])
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
	script, notes, err := FromBench(path)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, fault := range script.Faults {
		got = append(got, fault.Kind)
	}
	if strings.Join(got, " ") != "dark slow kill kill kill silent" || script.Faults[5].Size != 6 ||
		script.Duration != 40*time.Second {
		t.Errorf("%+v", script.Faults)
	}
	if len(notes) != 1 || !strings.Contains(notes[0], "moon") {
		t.Errorf("notes %v", notes)
	}
	if _, _, err := FromBench(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing file was accepted")
	}
}
