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

// ServerProtocol is the protocol between the ingress and the platform's servers. It implements backend.Dialect.
type ServerProtocol struct{}

// Limits returns the limits of an answer, which consists of a value, a usage figure and a load report.
func (ServerProtocol) Limits() resp.Limits {
	lim := limits
	lim.Command, lim.Reply = 0, 3*MaxValueBytes+2*maxLineBytes
	return lim
}

// Greeting returns no commands: a server accepts requests on a new connection at once.
func (ServerProtocol) Greeting() (commands []byte, answers int) { return nil, 0 }

// AppendAttempt appends the client's command, with its field d replaced by the remaining time in milliseconds, at least 1.
func (ServerProtocol) AppendAttempt(dst, payload []byte, remainingS float64) []byte {
	var words [maxWords][]byte
	args, _, _, err := resp.ParseCommand(payload, words[:0], limits)
	if err != nil || len(args) < 4 {
		return append(dst, payload...) // not reached: CommandParser.Parse builds no such payload
	}
	var buf [256]byte
	fieldList := buf[:0]
	for rest := args[3]; len(rest) > 0; {
		pair, more, _ := bytes.Cut(rest, []byte{','})
		rest = more
		if len(fieldList) > 0 {
			fieldList = append(fieldList, ',')
		}
		if bytes.HasPrefix(pair, []byte("d=")) {
			fieldList = strconv.AppendInt(append(fieldList, "d="...), int64(max(math.Floor(remainingS*1000), 1)), 10)
		} else {
			fieldList = append(fieldList, pair...)
		}
	}
	args[3] = fieldList
	return resp.AppendArgs(dst, args)
}

// AppendProbe appends the command that asks for a load report.
func (ServerProtocol) AppendProbe(dst []byte) []byte {
	return append(dst, "*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"...)
}

// ParseReply parses the answer to an attempt. An array of three elements that begins with a value is a good answer, whatever
// the other elements are. A known error line gives the status of the attempt. Anything else is malformed.
func (ServerProtocol) ParseReply(reply []byte) (result core.Result, malformed bool) {
	for _, known := range errorReplies {
		if rest, matches := bytes.CutPrefix(reply, known.prefix); matches && (rest[0] == ' ' || rest[0] == '\r') {
			line, _, _ := bytes.Cut(rest, []byte("\r\n"))
			result.Status, result.Load = known.status, parseLoad(string(line[bytes.LastIndexByte(line, ' ')+1:]))
			return result, false
		}
	}
	value, load, ok := splitAnswer(reply)
	if !ok {
		return result, true
	}
	result.Status, result.Payload, result.Load = policy.OK, bytes.Clone(value), parseLoad(resp.Text(load, limits))
	return result, false
}

// errorReplies are the error lines that servers send, with the status of the attempt that each stands for.
var errorReplies = []struct {
	prefix []byte
	status policy.Status
}{{[]byte("-BUSY"), policy.Rejected}, {[]byte("-ERR failed"), policy.Error}}

// splitAnswer returns the value and the load report of a good answer, which is an array of the value (a string that is not
// null), a usage figure, and the load report.
func splitAnswer(reply []byte) (value, load []byte, ok bool) {
	rest, ok := bytes.CutPrefix(reply, []byte("*3\r\n$"))
	if !ok || rest[0] == '-' {
		return nil, nil, false
	}
	rest = reply[4:]
	var elements [3][]byte
	for i := range elements {
		n, err := resp.ReplyLength(rest, limits)
		if err != nil {
			return nil, nil, false
		}
		elements[i], rest = rest[:n], rest[n:]
	}
	return elements[0], elements[2], true
}

// ParseLoad parses the answer to a probe; nil if it contains no load.
func (ServerProtocol) ParseLoad(reply []byte) *policy.Load {
	return parseLoad(resp.Text(reply, limits))
}

// parseLoad parses a load report such as inflight=7,queue=2,util=0.61. Each field has two names: the one of the
// platform's documentation and the one of the settings. Fields that can't be parsed are skipped; nil if none is left.
func parseLoad(text string) *policy.Load {
	load := policy.Load{InFlight: -1, Queue: -1, Util: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	found := false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0) || math.IsInf(number, 0) {
			continue
		}
		field := &load.InFlight
		switch name {
		case "inflight", "busy_reqs":
		case "queue", "pending":
			field = &load.Queue
		case "util", "cpu_share":
			field = &load.Util
		case "latency_ms", "svc_ms":
			field = &load.ServiceMS
		case "qps", "served_ps":
			field = &load.ServedPerS
		case "eps", "failed_ps":
			field = &load.FailedPerS
		default:
			continue
		}
		*field, found = number, true
	}
	if !found {
		return nil
	}
	return &load
}
