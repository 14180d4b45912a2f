// Package resp parses and writes the Redis serialization protocol, versions 2 and 3, by its public
// specification (redis.io/docs/latest/develop/reference/protocol-spec). It works on byte slices that the
// caller holds: it reads no socket, keeps nothing between calls and copies nothing.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits bounds what a parser takes. Each is checked against the announced size, before the bytes
// themselves have come in.
type Limits struct {
	Bulk       int  // bytes of one string, 1 at least
	Args       int  // arguments of one command, or elements of a reply in all, 1 at least
	Inline     int  // bytes of a line: an inline command, a header, a simple string
	Depth      int  // levels of nested arrays, maps and sets in a reply
	Command    int  // bytes of one command in all, 0: not bounded
	ArraysOnly bool // commands are arrays alone, never inline lines
}

// DefaultLimits suit commands and answers of some hundred kilobytes.
var DefaultLimits = Limits{Bulk: 512 << 10, Args: 1024, Inline: 16 << 10, Depth: 8}

// ProtocolError tells what broke the framing. The connection can't be read any further.
type ProtocolError string

func (e ProtocolError) Error() string { return "Protocol error: " + string(e) }

// ErrIncomplete says that the bytes so far are the beginning of something whole.
var ErrIncomplete = errors.New("incomplete")

// line returns the line that starts at from, without its end, and where the next one starts.
func line(buf []byte, from, most int) (text []byte, next int, err error) {
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		if len(buf)-from > most {
			return nil, 0, ProtocolError("too big inline request")
		}
		return nil, 0, ErrIncomplete
	}
	if i > most {
		return nil, 0, ProtocolError("too big inline request")
	}
	text = buf[from : from+i]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text, from + i + 1, nil
}

// number reads a whole number as headers carry it: digits with an optional minus, nothing else.
func number(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 18 {
		return 0, false
	}
	neg := b[0] == '-'
	if neg {
		b = b[1:]
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	if neg {
		n = -n
	}
	return n, len(b) > 0
}

// ParseCommand reads the command at the start of buf, an array of bulk strings or an inline line. The
// arguments are appended to args and point into buf. n is the bytes that the command took; with no
// arguments but n above 0 the line was empty and is to be skipped. Errors are ErrIncomplete, with need as
// the least length of buf at which another look is worth it, or a ProtocolError.
func ParseCommand(buf []byte, args [][]byte, lim Limits) (out [][]byte, n, need int, err error) {
	if len(buf) == 0 {
		return args, 0, 1, ErrIncomplete
	}
	if lim.ArraysOnly && buf[0] != '*' {
		return args, 0, 0, ProtocolError("expected '*', got '" + printable(buf[0]) + "'")
	}
	head, at, err := line(buf, 0, lim.Inline)
	if err != nil {
		return args, 0, len(buf) + 1, err
	}
	if buf[0] != '*' {
		args, err = inline(head, args, lim.Args)
		return args, at, 0, err
	}
	count, ok := number(head[1:])
	if !ok || count > lim.Args {
		return args, 0, 0, ProtocolError("invalid multibulk length")
	}
	for ; count > 0; count-- {
		if at >= len(buf) {
			return args, 0, at + 4, ErrIncomplete
		}
		if buf[at] != '$' {
			return args, 0, 0, ProtocolError("expected '$', got '" + printable(buf[at]) + "'")
		}
		head, next, err := line(buf, at, lim.Inline)
		if err != nil {
			return args, 0, len(buf) + 1, err
		}
		size, ok := number(head[1:])
		if !ok || size < 0 || size > lim.Bulk {
			return args, 0, 0, ProtocolError("invalid bulk length")
		}
		if at = next + size + 2; lim.Command > 0 && at > lim.Command {
			return args, 0, 0, ProtocolError("too big request")
		}
		if at > len(buf) {
			return args, 0, at, ErrIncomplete
		}
		if buf[at-2] != '\r' || buf[at-1] != '\n' {
			return args, 0, 0, ProtocolError("bulk string not ended by CRLF")
		}
		args = append(args, buf[next:next+size])
	}
	return args, at, 0, nil
}

func printable(c byte) string {
	if c < ' ' || c > '~' {
		return "\\x" + strconv.FormatUint(uint64(c)|0x100, 16)[1:]
	}
	return string(c)
}

// inline splits an inline command at spaces; quotes group, and a backslash in double quotes escapes.
func inline(s []byte, args [][]byte, most int) ([][]byte, error) {
	for i := 0; i < len(s); {
		if s[i] == ' ' || s[i] == '\t' {
			i++
			continue
		}
		if len(args) >= most {
			return args, ProtocolError("too many arguments")
		}
		q := s[i]
		if q != '"' && q != '\'' {
			from := i
			for i < len(s) && s[i] != ' ' && s[i] != '\t' {
				i++
			}
			args = append(args, s[from:i])
			continue
		}
		arg, closed := []byte{}, false
		for i++; i < len(s) && !closed; i++ {
			switch c := s[i]; {
			case c == q:
				closed = true
			case c == '\\' && i+1 < len(s) && (q == '"' || s[i+1] == '\''):
				i++
				arg = append(arg, unescape(s[i]))
			default:
				arg = append(arg, c)
			}
		}
		if !closed || i < len(s) && s[i] != ' ' && s[i] != '\t' {
			return args, ProtocolError("unbalanced quotes in request")
		}
		args = append(args, arg)
	}
	return args, nil
}

func unescape(c byte) byte {
	switch c {
	case 'n':
		return '\n'
	case 'r':
		return '\r'
	case 't':
		return '\t'
	}
	return c
}

// ReplyLength returns the length of the reply at the start of buf. Attributes that precede it are part of it.
// Errors are ErrIncomplete and ProtocolError.
func ReplyLength(buf []byte, lim Limits) (int, error) {
	n, _, err := ScanReply(buf, lim)
	return n, err
}

// ScanReply is Reply that tells with ErrIncomplete the least length of buf at which another look is worth it.
func ScanReply(buf []byte, lim Limits) (n, need int, err error) {
	at, elements := 0, lim.Args
	var open [32]int // elements left on each open level
	depth := 0
	for {
		if at >= len(buf) {
			return 0, at + 1, ErrIncomplete
		}
		head, next, err := line(buf, at, lim.Inline)
		if err != nil {
			return 0, len(buf) + 1, err
		}
		if len(head) == 0 {
			return 0, 0, ProtocolError("empty line in place of a reply")
		}
		attribute, children := false, 0
		switch kind := head[0]; kind {
		case '+', '-', ':', '_', ',', '#', '(':
			at = next
		case '$', '!', '=':
			size, ok := number(head[1:])
			if !ok || size < -1 || size > lim.Bulk {
				return 0, 0, ProtocolError("invalid bulk length")
			}
			if at = next; size >= 0 {
				at = next + size + 2
			}
			if at > len(buf) {
				return 0, at, ErrIncomplete
			}
			if size >= 0 && (buf[at-2] != '\r' || buf[at-1] != '\n') {
				return 0, 0, ProtocolError("bulk string not ended by CRLF")
			}
		case '*', '~', '>', '%', '|':
			size, ok := number(head[1:])
			if !ok || size < -1 {
				return 0, 0, ProtocolError("invalid multibulk length")
			}
			children = max(size, 0)
			if children > elements {
				return 0, 0, ProtocolError("too many elements")
			}
			if kind == '%' || kind == '|' {
				children *= 2
			}
			if elements -= children; elements < 0 {
				return 0, 0, ProtocolError("too many elements")
			}
			attribute, at = kind == '|', next
		default:
			return 0, 0, ProtocolError("unknown reply type '" + printable(kind) + "'")
		}
		if attribute {
			children++ // the reply that it belongs to follows in its place
		}
		if children > 0 {
			if depth >= min(lim.Depth, len(open)) {
				return 0, 0, ProtocolError("reply nested too deeply")
			}
			open[depth] = children
			depth++
			continue
		}
		for depth > 0 {
			if open[depth-1]--; open[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return at, 0, nil
		}
	}
}

// Unprocessed returns what is to be held until more comes in, after used bytes of src were taken. Held is what was held
// before; src is held itself where that is not empty, and else memory that does not last. Room is the least
// capacity to begin with, bytes. Nothing left is nil, so that an idle connection holds no memory.
func Unprocessed(held, src []byte, used, room int) []byte {
	rest := src[used:]
	switch {
	case len(rest) == 0:
		return nil
	case len(held) > 0 && used > 0:
		return held[:copy(held, rest)]
	case len(held) > 0:
		return held
	}
	return append(make([]byte, 0, max(len(rest), room)), rest...)
}

// SplitAttribute parts a whole reply into its leading attribute, nil if there is none, and the rest.
func SplitAttribute(reply []byte, lim Limits) (attr, rest []byte) {
	if len(reply) == 0 || reply[0] != '|' {
		return nil, reply
	}
	head, at, err := line(reply, 0, lim.Inline)
	if err != nil {
		return nil, reply
	}
	pairs, ok := number(head[1:])
	if !ok || pairs < 0 {
		return nil, reply
	}
	for range 2 * pairs {
		n, err := ReplyLength(reply[at:], lim)
		if err != nil {
			return nil, reply
		}
		at += n
	}
	return reply[:at], reply[at:]
}

// ElementTexts reads the strings and numbers among the elements of an aggregate as text, one level deep.
func ElementTexts(agg []byte, lim Limits) []string {
	head, at, err := line(agg, 0, lim.Inline)
	if err != nil || len(head) == 0 {
		return nil
	}
	var out []string
	for at < len(agg) {
		n, err := ReplyLength(agg[at:], lim)
		if err != nil {
			return out
		}
		out = append(out, Text(agg[at:at+n], lim))
		at += n
	}
	return out
}

// Text is the text of a string or number reply, without its frame.
func Text(reply []byte, lim Limits) string {
	head, next, err := line(reply, 0, lim.Inline)
	if err != nil || len(head) == 0 {
		return ""
	}
	if head[0] != '$' && head[0] != '=' && head[0] != '!' {
		return string(head[1:])
	}
	if len(reply) < next+2 {
		return ""
	}
	return string(reply[next : len(reply)-2])
}
