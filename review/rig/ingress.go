package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// class, plan and deployment describe a small deployment, as the settings of an ingress name it.
type class struct {
	name            string
	aimS, deadlineS float64
	effect          string // retryable, dedup or fragile
}

type deployment struct {
	classes            []class
	memoryMB           int
	sockets            int
	stopSendingWithinS float64
	parallelTries      bool
	known              []host
	plans              []map[string]any // nil: one plan without a quota
	listen             string           // "": a free address
	descriptors        int              // the system's limit for the process, 0: as it is
}

// plan returns a plan of the settings; rates of 0 mean that there is no such limit.
func plan(name string, rate, burst, ceilingRate, ceilingBurst, slack float64) map[string]any {
	return map[string]any{"capDepth": ceilingBurst, "ceilingSlack": slack, "excessCost": 1.0, "extraWorth": 0.0, "hardRate": ceilingRate,
		"name": name, "parallel": 0, "pays": 1.0, "peakUnits": burst, "unitsPerS": rate}
}

// settings returns the settings object of an ingress.
func (d deployment) settings() map[string]any {
	profiles := []map[string]any{}
	for _, c := range d.classes {
		profiles = append(profiles, map[string]any{"aimS": c.aimS, "deadlineS": c.deadlineS, "effect": c.effect, "keyScope": "all",
			"keyTtlS": 5.0, "lateWorth": 0.2, "name": c.name, "stream": false, "worth": 3.0})
	}
	plans := d.plans
	if plans == nil {
		plans = []map[string]any{plan("basic", 0, 0, 0, 0, 0)}
	}
	return map[string]any{
		"balancers": 1, "clientHabits": map[string]any{"marksRetry": false}, "discovery": "pushed", "failureDomains": []string{"room-a"},
		"family": "gate", "familyInfo": map[string]any{"counterPrice": 0.0, "counterTimeoutS": 0.0, "maxUnits": 4, "meterPeriodS": 0.0,
			"peerIntake": 40.0, "sharedCounter": false, "truedUp": false},
		"feedback": map[string]any{"fields": []string{}, "how": "none"}, "kinds": []string{"std"},
		"limits": map[string]any{"cancel": true, "connIdleS": 15.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "dialTimeoutS": 0.25,
			"maxAttempts": 3, "maxRetryAfterS": 0.5, "mostHeld": 20000, "multiplex": 100, "parallelTries": d.parallelTries,
			"peerMessages": false, "probes": false, "retryAfter": true},
		"me": 0, "myZone": "room-a",
		"packages": plans,
		"prices":   map[string]any{"crossZone": 0.0, "waste": 0.03}, "profiles": profiles,
		"rules": map[string]any{"answerSlackS": 0.05, "askWithinS": 10.0, "coldFrom": 0.3, "coldS": 10.0, "fallMultiple": 4.0, "fallS": 1.5,
			"stopSendingWithinS": d.stopSendingWithinS},
		"scoreParts": map[string]any{"whole": 1.0}, "stages": []string{"front"}, "tickS": 0.002, "tier": 0, "weights": "none"}
}

// ingress is one ingress, started by the command of the deploy file.
type ingress struct {
	rec    *record
	listen string
	config string // path of its configuration
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
	log    *os.File
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// startIngress writes the configuration and starts an ingress from the root of the repository.
func startIngress(rec *record, repo, dir, discovery string, d deployment) (*ingress, error) {
	deploy, err := os.ReadFile(filepath.Join(repo, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindStringSubmatch(string(deploy))
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	listen := d.listen
	if listen == "" {
		if listen, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	peer, err := freeAddr()
	if err != nil {
		return nil, err
	}
	known := listOf(1, true, d.known)
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets},
		"peer_listen": peer, "peers": []string{peer}, "peers_all": peer, "known": known, "settings": d.settings()})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config-"+strconv.FormatInt(time.Now().UnixNano(), 36)+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	in := &ingress{rec: rec, listen: listen, config: path, done: make(chan struct{})}
	if in.log, err = os.OpenFile(filepath.Join(dir, "ingress.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	line := run[1]
	if d.descriptors > 0 {
		line = fmt.Sprintf("ulimit -n %d && %s", d.descriptors, line)
	}
	in.cmd = exec.Command("/bin/sh", "-c", line)
	in.cmd.Dir = repo
	in.cmd.Env = append(os.Environ(), "EDGE_NAME=n0", "EDGE_LISTEN="+listen, "EDGE_DISCOVERY="+discovery, "EDGE_CONFIG="+path, "TMPDIR="+dir)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	if err := in.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		in.cmd.Wait()
		close(in.done)
	}()
	go func() { // the run is broken off, or takes too long
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		in.stop()
		os.RemoveAll(dir)
		os.Exit(cannotRun)
	}()
	return in, nil
}

// awaitReady waits until the ingress has answered PING.
func (in *ingress) awaitReady() error {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", in.listen)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		conn.Write(command("PING"))
		line, err := readLine(bufio.NewReader(conn))
		conn.Close()
		if err == nil && line == "+PONG" {
			in.rec.say("the ingress is ready")
			return nil
		}
	}
	return errors.New("the ingress did not become ready")
}

// stop ends the process.
func (in *ingress) stop() {
	in.cmd.Process.Kill()
	<-in.done
	in.log.Close()
}

// memoryKB returns a figure of the process's memory in kB, as the system names it.
func (in *ingress) memoryKB(name string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
