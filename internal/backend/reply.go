package backend

import (
	"bytes"
	"strconv"
	"strings"

	"cometpond/policy"
)

// judge tells what a reply proves. Errors with which boxes turn work away unseen never ran. Errors of the
// box itself may have run. Words on which client libraries repeat a command by themselves are never passed
// on: they count as errors of the box. All other errors are the box's answer to the client.
func judge(reply []byte) policy.Status {
	if len(reply) == 0 || reply[0] != '-' {
		return policy.OK
	}
	word := reply[1:]
	if i := bytes.IndexAny(word, " \r"); i >= 0 {
		word = word[:i]
	}
	switch string(word) {
	case "BUSY", "LOADING", "OOM":
		return policy.Full
	case "INTERNAL", "TRYAGAIN", "CLUSTERDOWN", "MASTERDOWN", "READONLY", "MOVED", "ASK", "NOREPLICAS", "UNKILLABLE":
		return policy.Error
	}
	if bytes.HasPrefix(reply, []byte("-ERR max number of clients")) {
		return policy.Full
	}
	return policy.OK
}

// parseLoad reads a load report from the text of INFO: a line a figure, as util:0.5.
func parseLoad(text string) *policy.Load {
	var pairs []string
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), ":"); ok {
			pairs = append(pairs, k, v)
		}
	}
	return pairsLoad(pairs)
}

// pairsLoad reads a load report from names and figures in turn; nil if it holds none that is known.
func pairsLoad(pairs []string) *policy.Load {
	l := policy.Load{InFlight: -1, Queue: -1, Util: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	fields := map[string]*float64{"inflight": &l.InFlight, "queue": &l.Queue, "util": &l.Util, "latency_ms": &l.ServiceMS,
		"served_per_s": &l.ServedPerS, "failed_per_s": &l.FailedPerS}
	some := false
	for i := 0; i+1 < len(pairs); i += 2 {
		if to := fields[pairs[i]]; to != nil {
			if x, err := strconv.ParseFloat(pairs[i+1], 64); err == nil && x >= 0 {
				*to, some = x, true
			}
		}
	}
	if !some {
		return nil
	}
	return &l
}
