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

// In CI a soak takes these seeds, and so long each. By hand:
//
//	SOAK_SEEDS=1-50 SOAK_FOR=20s go test ./internal/edge -run Soak -timeout 2h -v
const (
	soakSeeds = "1-4"
	soakFor   = 12 * time.Second
)

// A fleet of real processes under failing calls, signals in series, servers and discovery in trouble: every rule holds.
func TestSoakKeepsTheRules(t *testing.T) {
	first, last := seedRange(t)
	d := soakFor
	if text := os.Getenv("SOAK_FOR"); text != "" {
		var err error
		if d, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakOnce(t, seed, d) })
	}
}

func seedRange(t *testing.T) (first, last uint64) {
	t.Helper()
	text := soakSeeds
	if own := os.Getenv("SOAK_SEEDS"); own != "" {
		text = own
	}
	from, to, ranged := strings.Cut(text, "-")
	if !ranged {
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

func soakOnce(t *testing.T, seed uint64, d time.Duration) {
	r, err := soak.Run(soak.Options{Seed: seed, Duration: d, IdleClients: seed%4 == 0, Folder: t.TempDir(), Program: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "-test.run", "TestMain")
		cmd.Env = append(os.Environ(), "EDGE_CHILD=1")
		return cmd
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %d served, %d calls failed, %d rules broken", r.Sent, r.Served, r.FailedCalls, len(r.Violations))
	for i, b := range r.Violations {
		if i == 20 {
			break
		}
		t.Errorf("%s: %s", b.Rule, b.Text)
	}
	if r.Served*2 < r.Sent {
		t.Errorf("%d of %d requests served", r.Served, r.Sent)
	}
	if t.Failed() {
		t.Log("what happened:\n" + strings.Join(r.Events, "\n"))
		for i, text := range r.Logs {
			t.Logf("the end of n%d's log:\n%s", i, tail(text, 4000))
		}
	}
}
