package backend

import (
	"bytes"
	"strconv"
	"strings"

	"cometpond/internal/core"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// RESP is the dialect of plain RESP boxes: they are greeted with this instance's name, answer INFO with their load,
// and any answer but an error that boxes give to all is the client's.
type RESP struct {
	Name          string // this instance's, by CLIENT SETNAME
	LoadInReplies bool   // load rides on answers as an attribute, which version 3 alone has
}

// mostReply bounds one string of an answer, bytes.
const mostReply = 8 << 20

// Limits are wide: what a box answers is its own affair.
func (RESP) Limits() resp.Limits {
	lim := resp.DefaultLimits
	lim.Bulk, lim.Args = mostReply, 1<<16
	return lim
}

// Greeting names this instance.
func (d RESP) Greeting() (commands []byte, answers int) {
	if d.LoadInReplies {
		commands = resp.AppendCommand(commands, "HELLO", "3")
		answers++
	}
	return resp.AppendCommand(commands, "CLIENT", "SETNAME", d.Name), answers + 1
}

// AppendAttempt appends the client's command as it came. Alone it is not copied: it may be large.
func (RESP) AppendAttempt(dst, payload []byte, _ float64) []byte {
	if len(dst) == 0 {
		return payload[:len(payload):len(payload)] // so that what is appended to it goes elsewhere
	}
	return append(dst, payload...)
}

// AppendProbe asks for INFO.
func (RESP) AppendProbe(dst []byte) []byte { return resp.AppendCommand(dst, "INFO") }

// ParseReply judges an answer and takes the load that rides on it.
func (d RESP) ParseReply(reply []byte) (r core.Result, spoilt bool) {
	lim := d.Limits()
	attr, body := resp.SplitAttribute(reply, lim)
	if attr != nil {
		r.Load = pairsLoad(resp.ElementTexts(attr, lim))
	}
	if r.Status = judge(body); r.Status == policy.OK {
		r.Payload = bytes.Clone(body)
	}
	return r, false
}

// ParseLoad reads INFO's text.
func (d RESP) ParseLoad(reply []byte) *policy.Load { return parseLoad(resp.Text(reply, d.Limits())) }

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
		return policy.Rejected
	case "INTERNAL", "TRYAGAIN", "CLUSTERDOWN", "MASTERDOWN", "READONLY", "MOVED", "ASK", "NOREPLICAS", "UNKILLABLE":
		return policy.Error
	}
	if bytes.HasPrefix(reply, []byte("-ERR max number of clients")) {
		return policy.Rejected
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
