package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Class describes a class of requests.
type Class struct {
	Name     string
	Command  string
	Keyed    bool
	Unsafe   bool
	Deadline time.Duration
}

// deployment holds the parameters of a run's fleet.
type deployment struct {
	classes   []Class
	ingresses int
	sockets   int // limit of file descriptors of one ingress
}

// drawDeployment draws the number of ingresses and the classes' deadlines. Deadlines are short in one run of three.
func drawDeployment(rng *rand.Rand, idleClients bool) deployment {
	d := deployment{ingresses: 2 + rng.IntN(2), sockets: 1024}
	if idleClients {
		d.sockets = 256
	}
	scale := 1.0
	if rng.IntN(3) == 0 {
		scale = 0.3
	}
	for _, c := range []Class{
		{Name: "status", Command: "SVC.QUERY", Deadline: 1500 * time.Millisecond},
		{Name: "order", Command: "SVC.SUBMIT", Keyed: true, Deadline: 2500 * time.Millisecond},
		{Name: "pay", Command: "SVC.SUBMIT", Unsafe: true, Deadline: 2500 * time.Millisecond},
	} {
		c.Deadline = time.Duration(float64(c.Deadline) * scale).Round(time.Millisecond)
		d.classes = append(d.classes, c)
	}
	return d
}

// A process that received SIGTERM is killed after the longest deadline, counted as 3 s at most, plus 0.7 s.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
)

// killAfter returns the time between SIGTERM and SIGKILL.
func (d *deployment) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxCountedDeadline) + killDelay
}

// settings returns the settings object of one ingress.
func (d *deployment) settings(me int) string {
	effects := map[string]string{"status": `"retryable"`, "order": `"dedup","keyScope":"all","keyTtlS":5`, "pay": `"fragile"`}
	var profiles []string
	for _, c := range d.classes {
		s := c.Deadline.Seconds()
		profiles = append(profiles, fmt.Sprintf(`{"name":%q,"aimS":%.3f,"deadlineS":%.3f,"lateWorth":0.2,"worth":3,"effect":%s}`,
			c.Name, s/2, s, effects[c.Name]))
	}
	return fmt.Sprintf(`{"balancers":%d,"me":%d,"myZone":"room-a","tickS":0.002,
"familyInfo":{"maxUnits":4,"peerIntake":40},"feedback":{"fields":["svc_ms","cpu_share"],"how":"probe"},
"limits":{"cancel":true,"connIdleS":15,"dialTimeoutS":0.25,"maxAttempts":3,"maxRetryAfterS":0.5,"mostHeld":20000,"multiplex":100,
"parallelTries":true,"peerMessages":true,"probes":true,"retryAfter":true},
"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1,"excessCost":1}],
"prices":{"crossZone":0.02},"profiles":[%s],
"rules":{"answerSlackS":0.008,"askWithinS":10,"coldFrom":0.2,"coldS":15,"fallMultiple":2,"fallS":1.5,"stopSendingWithinS":2},
"scoreParts":{"worstTenant":0.15}}`, d.ingresses, me, strings.Join(profiles, ","))
}

// configuration is the configuration file of one ingress. It is safe for concurrent use.
type configuration struct {
	folder, listen, peerListen string
	peers                      []string
	writing                    sync.Mutex // held while the file is replaced
}

func (c *configuration) path() string { return filepath.Join(c.folder, "config.json") }

// write replaces the file atomically, by a rename.
func (c *configuration) write(name, discovery, known, settings string, sockets int, seed uint64) error {
	peers := `"` + strings.Join(c.peers, `","`) + `"`
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":96,"sockets":%d},
"peer_listen":%q,"peers":[%s],"peers_all":"","known":%s,"settings":%s}`,
		name, c.listen, discovery, seed, sockets, c.peerListen, peers, known, settings)
	c.writing.Lock()
	defer c.writing.Unlock()
	next := c.path() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("soak: configuration: %w", err)
	}
	if err := os.Rename(next, c.path()); err != nil {
		return fmt.Errorf("soak: configuration: %w", err)
	}
	return nil
}
