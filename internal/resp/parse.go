// Package resp parses and writes the Redis serialization protocol (RESP), versions 2 and 3, according to its public
// specification (redis.io/docs/latest/develop/reference/protocol-spec). It works on byte slices of the caller: it reads
// no socket, keeps no state between calls, and results of parsing point into the caller's slice where possible.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits limits the size of commands and replies that a parser accepts. Sizes are checked when they are announced, before
// the data itself has arrived.
type Limits struct {
	Bulk       int  // bytes of one string, at least 1
	Args       int  // arguments of one command, or elements of a reply over all levels, at least 1
	Inline     int  // bytes of a line: an inline command, a header or a simple string
	Depth      int  // levels of nested arrays, maps and sets in a reply
	Command    int  // bytes of one command, 0: no limit
	Reply      int  // bytes of one reply, 0: no limit
	ArraysOnly bool // commands must be arrays; inline commands are an error
}

// DefaultLimits suit commands and replies of some hundred kilobytes.
var DefaultLimits = Limits{Bulk: 512 << 10, Args: 1024, Inline: 16 << 10, Depth: 8}

// ProtocolError is a violation of the protocol. The rest of the connection's input can't be parsed.
type ProtocolError string

// Error returns the message in the form that Redis uses.
func (e ProtocolError) Error() string { return "Protocol error: " + string(e) }

// ErrIncomplete means that the input so far is the beginning of a command or reply.
var ErrIncomplete = errors.New("incomplete")

// readLine returns the line that starts at from, without its line end, and the offset of the next line. The line may be maxLen
// bytes long, including a carriage return at its end.
func readLine(buf []byte, from, maxLen int) (text []byte, next int, err error) {
	i := bytes.IndexByte(buf[from:], '\n')
	if i < 0 {
		if len(buf)-from > maxLen {
			return nil, 0, ProtocolError("too big inline request")
		}
		return nil, 0, ErrIncomplete
	}
	if i > maxLen {
		return nil, 0, ProtocolError("too big inline request")
	}
	text = buf[from : from+i]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text, from + i + 1, nil
}

// parseInteger parses the integer of a header: digits with an optional minus sign, and nothing else.
func parseInteger(b []byte) (int, bool) {
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

// ParseCommand parses the command at the start of buf, which is an array of bulk strings or an inline command. The arguments are
// appended to args; they point into buf, but for quoted arguments of inline commands. n is the length of the command in bytes;
// with no arguments and n above 0 the command was empty and is to be skipped. Errors are ErrIncomplete, with need as the minimum
// length of buf for which parsing can make progress, or a ProtocolError.
func ParseCommand(buf []byte, args [][]byte, lim Limits) (out [][]byte, n, need int, err error) {
	if len(buf) == 0 {
		return args, 0, 1, ErrIncomplete
	}
	if lim.ArraysOnly && buf[0] != '*' {
		return args, 0, 0, ProtocolError("expected '*', got '" + printable(buf[0]) + "'")
	}
	header, offset, err := readLine(buf, 0, lim.Inline)
	if err != nil {
		return args, 0, len(buf) + 1, err
	}
	if buf[0] != '*' {
		args, err = splitInline(header, args, lim.Args)
		return args, offset, 0, err
	}
	count, ok := parseInteger(header[1:])
	if !ok || count > lim.Args {
		return args, 0, 0, ProtocolError("invalid multibulk length")
	}
	for ; count > 0; count-- {
		if offset >= len(buf) {
			return args, 0, offset + 4, ErrIncomplete
		}
		if buf[offset] != '$' {
			return args, 0, 0, ProtocolError("expected '$', got '" + printable(buf[offset]) + "'")
		}
		header, next, err := readLine(buf, offset, lim.Inline)
		if err != nil {
			return args, 0, len(buf) + 1, err
		}
		size, ok := parseInteger(header[1:])
		if !ok || size < 0 || size > lim.Bulk {
			return args, 0, 0, ProtocolError("invalid bulk length")
		}
		if offset = next + size + 2; lim.Command > 0 && offset > lim.Command {
			return args, 0, 0, ProtocolError("too big request")
		}
		if offset > len(buf) {
			return args, 0, offset, ErrIncomplete
		}
		if buf[offset-2] != '\r' || buf[offset-1] != '\n' {
			return args, 0, 0, ProtocolError("bulk string not ended by CRLF")
		}
		args = append(args, buf[next:next+size])
	}
	return args, offset, 0, nil
}

// printable returns c for an error message, escaped if it is not printable ASCII.
func printable(c byte) string {
	if c < ' ' || c > '~' {
		return "\\x" + strconv.FormatUint(uint64(c)|0x100, 16)[1:]
	}
	return string(c)
}

// splitInline splits an inline command at spaces and tabs. Arguments may be quoted; in double quotes a backslash escapes the next
// character, in single quotes only a single quote.
func splitInline(line []byte, args [][]byte, maxArgs int) ([][]byte, error) {
	for i := 0; i < len(line); {
		if line[i] == ' ' || line[i] == '\t' {
			i++
			continue
		}
		if len(args) >= maxArgs {
			return args, ProtocolError("too many arguments")
		}
		quote := line[i]
		if quote != '"' && quote != '\'' {
			from := i
			for i < len(line) && line[i] != ' ' && line[i] != '\t' {
				i++
			}
			args = append(args, line[from:i])
			continue
		}
		arg, closed := []byte{}, false
		for i++; i < len(line) && !closed; i++ {
			switch c := line[i]; {
			case c == quote:
				closed = true
			case c == '\\' && i+1 < len(line) && (quote == '"' || line[i+1] == '\''):
				i++
				arg = append(arg, unescape(line[i]))
			default:
				arg = append(arg, c)
			}
		}
		if !closed || i < len(line) && line[i] != ' ' && line[i] != '\t' {
			return args, ProtocolError("unbalanced quotes in request")
		}
		args = append(args, arg)
	}
	return args, nil
}

// unescape returns the character that c stands for after a backslash.
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

// ReplyLength returns the length of the reply at the start of buf in bytes. Attributes that precede a reply are part of it.
// Errors are ErrIncomplete or a ProtocolError.
func ReplyLength(buf []byte, lim Limits) (int, error) {
	n, _, err := ScanReply(buf, lim)
	return n, err
}

// ScanReply is like ReplyLength, and with ErrIncomplete it also returns the minimum length of buf for which parsing can make
// progress.
func ScanReply(buf []byte, lim Limits) (n, need int, err error) {
	offset, elementsLeft := 0, lim.Args
	var levels [32]int // elements left on each level of nesting
	depth := 0
	for {
		if offset >= len(buf) {
			return 0, offset + 1, ErrIncomplete
		}
		header, next, err := readLine(buf, offset, lim.Inline)
		if err != nil {
			return 0, len(buf) + 1, err
		}
		if len(header) == 0 {
			return 0, 0, ProtocolError("empty line in place of a reply")
		}
		attribute, children := false, 0
		switch kind := header[0]; kind {
		case '+', '-', ':', '_', ',', '#', '(':
			offset = next
		case '$', '!', '=':
			size, ok := parseInteger(header[1:])
			if !ok || size < -1 || size > lim.Bulk {
				return 0, 0, ProtocolError("invalid bulk length")
			}
			if offset = next; size >= 0 {
				offset = next + size + 2
			}
			if lim.Reply > 0 && offset > lim.Reply {
				return 0, 0, ProtocolError("too big reply")
			}
			if offset > len(buf) {
				return 0, offset, ErrIncomplete
			}
			if size >= 0 && (buf[offset-2] != '\r' || buf[offset-1] != '\n') {
				return 0, 0, ProtocolError("bulk string not ended by CRLF")
			}
		case '*', '~', '>', '%', '|':
			size, ok := parseInteger(header[1:])
			if !ok || size < -1 {
				return 0, 0, ProtocolError("invalid multibulk length")
			}
			children = max(size, 0)
			if children > elementsLeft {
				return 0, 0, ProtocolError("too many elements")
			}
			if kind == '%' || kind == '|' {
				children *= 2
			}
			if elementsLeft -= children; elementsLeft < 0 {
				return 0, 0, ProtocolError("too many elements")
			}
			attribute, offset = kind == '|', next
		default:
			return 0, 0, ProtocolError("unknown reply type '" + printable(kind) + "'")
		}
		if attribute {
			children++ // the reply that the attribute belongs to follows
		}
		if children > 0 {
			if depth >= min(lim.Depth, len(levels)) {
				return 0, 0, ProtocolError("reply nested too deeply")
			}
			levels[depth] = children
			depth++
			continue
		}
		for depth > 0 {
			if levels[depth-1]--; levels[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return offset, 0, nil
		}
	}
}

// Unprocessed returns the input to keep until more arrives, after the first used bytes of src were processed. held is the input
// kept so far. If it is not empty, src must be the same slice; otherwise src is only valid during the call, and the rest is
// copied to a new slice with a capacity of at least minCap bytes. If nothing is left the result is nil, so that an idle
// connection occupies no memory.
func Unprocessed(held, src []byte, used, minCap int) []byte {
	rest := src[used:]
	switch {
	case len(rest) == 0:
		return nil
	case len(held) > 0 && used > 0:
		return held[:copy(held, rest)]
	case len(held) > 0:
		return held
	}
	return append(make([]byte, 0, max(len(rest), minCap)), rest...)
}

// SplitAttribute splits a complete reply into its leading attribute, nil if there is none, and the rest.
func SplitAttribute(reply []byte, lim Limits) (attr, rest []byte) {
	if len(reply) == 0 || reply[0] != '|' {
		return nil, reply
	}
	header, offset, err := readLine(reply, 0, lim.Inline)
	if err != nil {
		return nil, reply
	}
	pairs, ok := parseInteger(header[1:])
	if !ok || pairs < 0 {
		return nil, reply
	}
	for range 2 * pairs {
		n, err := ReplyLength(reply[offset:], lim)
		if err != nil {
			return nil, reply
		}
		offset += n
	}
	return reply[:offset], reply[offset:]
}

// ElementTexts returns the elements of an aggregate as text. It is meant for strings and numbers; nested aggregates are not
// decoded.
func ElementTexts(aggregate []byte, lim Limits) []string {
	header, offset, err := readLine(aggregate, 0, lim.Inline)
	if err != nil || len(header) == 0 {
		return nil
	}
	var out []string
	for offset < len(aggregate) {
		n, err := ReplyLength(aggregate[offset:], lim)
		if err != nil {
			return out
		}
		out = append(out, Text(aggregate[offset:offset+n], lim))
		offset += n
	}
	return out
}

// Text returns the content of a reply that is a string or number, without its header and line ends.
func Text(reply []byte, lim Limits) string {
	header, next, err := readLine(reply, 0, lim.Inline)
	if err != nil || len(header) == 0 {
		return ""
	}
	if header[0] != '$' && header[0] != '=' && header[0] != '!' {
		return string(header[1:])
	}
	if len(reply) < next+2 {
		return ""
	}
	return string(reply[next : len(reply)-2])
}
