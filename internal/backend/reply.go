package backend

import (
	"bytes"
	"strconv"
	"strings"

	"cometpond/internal/core"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// RESP is the dialect of plain RESP servers. The greeting tells them the name of this instance, and they reply to INFO
// with their load. A reply is passed to the client, unless it is an error that says nothing about the client's command.
type RESP struct {
	Name          string // of this instance, sent with CLIENT SETNAME
	LoadInReplies bool   // replies carry the load as an attribute, which only version 3 of the protocol has
}

// maxReplyBytes bounds one string of a reply.
const maxReplyBytes = 8 << 20

// Limits returns wide limits: what a server replies to a command is not this gateway's concern.
func (RESP) Limits() resp.Limits {
	limits := resp.DefaultLimits
	limits.Bulk, limits.Args = maxReplyBytes, 1<<16
	return limits
}

// Greeting returns the commands that set the protocol version and the name of this instance.
func (rd RESP) Greeting() (commands []byte, replies int) {
	if rd.LoadInReplies {
		commands = resp.AppendCommand(commands, "HELLO", "3")
		replies++
	}
	return resp.AppendCommand(commands, "CLIENT", "SETNAME", rd.Name), replies + 1
}

// AppendAttempt appends the client's command unchanged. If dst is empty, it returns the payload without copying it, as it
// may be large.
func (RESP) AppendAttempt(dst, payload []byte, _ float64) []byte {
	if len(dst) == 0 {
		return payload[:len(payload):len(payload)] // so that a later append does not write into the payload's array
	}
	return append(dst, payload...)
}

// AppendProbe appends the command INFO.
func (RESP) AppendProbe(dst []byte) []byte { return resp.AppendCommand(dst, "INFO") }

// ParseReply classifies a reply and extracts the load that it carries. It never reports a reply as malformed.
func (rd RESP) ParseReply(reply []byte) (result core.Result, malformed bool) {
	limits := rd.Limits()
	attribute, body := resp.SplitAttribute(reply, limits)
	if attribute != nil {
		result.Load = loadFromPairs(resp.ElementTexts(attribute, limits))
	}
	if result.Status = replyStatus(body); result.Status == policy.OK {
		result.Payload = bytes.Clone(body)
	}
	return result, false
}

// ParseLoad parses the reply to INFO.
func (rd RESP) ParseLoad(reply []byte) *policy.Load { return parseInfo(resp.Text(reply, rd.Limits())) }

// replyStatus returns what a reply proves about an attempt. After errors with which a server rejects a command unseen, the
// attempt did not run; after errors of the server itself, it may have run. Errors on which client libraries repeat a
// command by themselves count as errors of the server, so that they are never passed on. All other errors are the
// server's reply to the client.
func replyStatus(reply []byte) policy.Status {
	if len(reply) == 0 || reply[0] != '-' {
		return policy.OK
	}
	code := reply[1:]
	if i := bytes.IndexAny(code, " \r"); i >= 0 {
		code = code[:i]
	}
	switch string(code) {
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

// parseInfo reads a load report from the text of INFO, which has one value per line, such as util:0.5.
func parseInfo(text string) *policy.Load {
	var pairs []string
	for line := range strings.Lines(text) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), ":"); ok {
			pairs = append(pairs, name, value)
		}
	}
	return loadFromPairs(pairs)
}

// loadFromPairs reads a load report from alternating names and values; nil if it holds no known value.
func loadFromPairs(pairs []string) *policy.Load {
	load := policy.Load{InFlight: -1, Queue: -1, Util: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	fields := map[string]*float64{"inflight": &load.InFlight, "queue": &load.Queue, "util": &load.Util, "latency_ms": &load.ServiceMS,
		"served_per_s": &load.ServedPerS, "failed_per_s": &load.FailedPerS}
	found := false
	for i := 0; i+1 < len(pairs); i += 2 {
		if field := fields[pairs[i]]; field != nil {
			if value, err := strconv.ParseFloat(pairs[i+1], 64); err == nil && value >= 0 {
				*field, found = value, true
			}
		}
	}
	if !found {
		return nil
	}
	return &load
}
