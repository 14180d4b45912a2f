package svc

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"cometpond/internal/core"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// Backends is how the platform's backends are spoken to: it implements backend.Dialect.
type Backends struct{}

// Limits bound an answer: a value, a figure and a report.
func (Backends) Limits() resp.Limits {
	lim := limits
	lim.Command = 0
	return lim
}

// Greeting is none: a backend takes commands at once.
func (Backends) Greeting() (commands []byte, answers int) { return nil, 0 }

// AppendAttempt appends the client's command with d as the milliseconds that this end will wait, 1 at least.
func (Backends) AppendAttempt(dst, payload []byte, leftS float64) []byte {
	var words [maxWords][]byte
	args, _, _, err := resp.ParseCommand(payload, words[:0], limits)
	if err != nil || len(args) < 4 {
		return append(dst, payload...) // no call of this package's has such a payload
	}
	var text [256]byte
	with := text[:0]
	for rest := args[3]; len(rest) > 0; {
		pair, more, _ := bytes.Cut(rest, []byte{','})
		rest = more
		if len(with) > 0 {
			with = append(with, ',')
		}
		if bytes.HasPrefix(pair, []byte("d=")) {
			with = strconv.AppendInt(append(with, "d="...), int64(max(math.Floor(leftS*1000), 1)), 10)
		} else {
			with = append(with, pair...)
		}
	}
	args[3] = with
	return resp.AppendArgs(dst, args)
}

// AppendProbe asks for the load report.
func (Backends) AppendProbe(dst []byte) []byte {
	return append(dst, "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"...)
}

// ParseReply reads an answer. An array that begins with the value is an answer whatever stands behind the value; an error
// line of a backend says how the attempt ended; anything else is spoilt.
func (Backends) ParseReply(reply []byte) (r core.Result, spoilt bool) {
	for _, e := range refusals {
		if rest, is := bytes.CutPrefix(reply, e.words); is && (rest[0] == ' ' || rest[0] == '\r') {
			line, _, _ := bytes.Cut(rest, []byte("\r\n"))
			r.Status, r.Load = e.status, report(string(line[bytes.LastIndexByte(line, ' ')+1:]))
			return r, false
		}
	}
	value, load, ok := parts(reply)
	if !ok {
		return r, true
	}
	r.Status, r.Payload, r.Load = policy.OK, bytes.Clone(value), report(resp.Text(load, limits))
	return r, false
}

var refusals = []struct {
	words  []byte
	status policy.Status
}{{[]byte("-BUSY"), policy.Rejected}, {[]byte("-ERR failed"), policy.Error}}

// parts are the value and the load report of an answer: an array of a string that is not null, what was used, and the
// report.
func parts(reply []byte) (value, load []byte, ok bool) {
	rest, ok := bytes.CutPrefix(reply, []byte("*3\r\n$"))
	if !ok || rest[0] == '-' {
		return nil, nil, false
	}
	rest = reply[4:]
	var part [3][]byte
	for i := range part {
		n, err := resp.ReplyLength(rest, limits)
		if err != nil {
			return nil, nil, false
		}
		part[i], rest = rest[:n], rest[n:]
	}
	return part[0], part[2], true
}

// ParseLoad reads the answer to INFO load.
func (Backends) ParseLoad(reply []byte) *policy.Load { return report(resp.Text(reply, limits)) }

// report reads a load report, as inflight=7,queue=2,util=0.61. Fields are named as the platform's pages or as the
// settings name them. What can't be read is skipped; nil if nothing is left.
func report(text string) *policy.Load {
	l := policy.Load{InFlight: -1, Queue: -1, Util: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	some := false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0) || math.IsInf(x, 0) {
			continue
		}
		to := &l.InFlight
		switch name {
		case "inflight", "busy_reqs":
		case "queue", "pending":
			to = &l.Queue
		case "util", "cpu_share":
			to = &l.Util
		case "latency_ms", "svc_ms":
			to = &l.ServiceMS
		case "qps", "served_ps":
			to = &l.ServedPerS
		case "eps", "failed_ps":
			to = &l.FailedPerS
		default:
			continue
		}
		*to, some = x, true
	}
	if !some {
		return nil
	}
	return &l
}
