package edge

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"cometpond/internal/soak"
)

// Seeds of the soak test, and the duration for each, unless the environment sets others:
//
//	SOAK_SEEDS=1-50 SOAK_FOR=20s go test ./internal/edge -run Soak -timeout 2h -v
const (
	soakSeeds = "1-4"
	soakFor   = 12 * time.Second
)

// A fleet of ingresses in processes of their own keeps every rule under failing system calls, series of signals, and faults
// of servers and discovery.
func TestSoakKeepsTheRules(t *testing.T) {
	first, last := seedRange(t)
	duration := soakFor
	if text := os.Getenv("SOAK_FOR"); text != "" {
		var err error
		if duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakOnce(t, seed, duration) })
	}
}

// seedRange returns the seeds of SOAK_SEEDS, a number or two with a hyphen, or the default ones.
func seedRange(t *testing.T) (first, last uint64) {
	t.Helper()
	text := soakSeeds
	if seeds := os.Getenv("SOAK_SEEDS"); seeds != "" {
		text = seeds
	}
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	if last, err = strconv.ParseUint(to, 10, 64); err != nil {
		t.Fatal(err)
	}
	return first, last
}

// soakOnce runs the fleet with one seed and reports the rules that were broken.
func soakOnce(t *testing.T, seed uint64, duration time.Duration) {
	record, err := soak.Run(soak.Options{Seed: seed, Duration: duration, IdleClients: seed%4 == 0, Folder: t.TempDir(), Program: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "-test.run", "TestMain")
		cmd.Env = append(os.Environ(), "EDGE_CHILD=1")
		return cmd
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %d served, %d calls failed, %d rules broken", record.Sent, record.Served, record.FailedCalls, len(record.Violations))
	for i, violation := range record.Violations {
		if i == 20 {
			break
		}
		t.Errorf("%s: %s", violation.Rule, violation.Text)
	}
	if record.Injections > 0 && record.FailedCalls == 0 {
		t.Errorf("no call failed in %d injections: the faults were not tested", record.Injections)
	}
	if record.Served*2 < record.Sent {
		t.Errorf("%d of %d requests served", record.Served, record.Sent)
	}
	if t.Failed() {
		t.Log("events:\n" + strings.Join(record.Events, "\n"))
		for i, text := range record.Logs {
			t.Logf("end of the log of n%d:\n%s", i, tail(text, 4000))
		}
	}
}
