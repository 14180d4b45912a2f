package resp

import "strconv"

// AppendCommand appends a command as an array of bulk strings.
func AppendCommand(dst []byte, args ...string) []byte {
	dst = AppendArrayHeader(dst, len(args))
	for _, a := range args {
		dst = AppendBulk(dst, a)
	}
	return dst
}

// AppendArgs is AppendCommand for arguments as bytes.
func AppendArgs(dst []byte, args [][]byte) []byte {
	dst = AppendArrayHeader(dst, len(args))
	for _, a := range args {
		dst = appendHead(dst, '$', len(a))
		dst = append(append(dst, a...), '\r', '\n')
	}
	return dst
}

func appendHead(dst []byte, kind byte, n int) []byte {
	dst = strconv.AppendInt(append(dst, kind), int64(n), 10)
	return append(dst, '\r', '\n')
}

// AppendArrayHeader appends the head of an array of n elements, which the caller appends next.
func AppendArrayHeader(dst []byte, n int) []byte { return appendHead(dst, '*', n) }

// AppendMapHeader appends the head of a map of n pairs: in version 2 an array of twice as many elements.
func AppendMapHeader(dst []byte, version, n int) []byte {
	if version < 3 {
		return appendHead(dst, '*', 2*n)
	}
	return appendHead(dst, '%', n)
}

// AppendInt appends a whole number.
func AppendInt(dst []byte, n int64) []byte {
	return append(strconv.AppendInt(append(dst, ':'), n, 10), '\r', '\n')
}

// AppendBulk appends a string of any bytes.
func AppendBulk(dst []byte, s string) []byte {
	dst = appendHead(dst, '$', len(s))
	return append(append(dst, s...), '\r', '\n')
}

// AppendSimple appends a simple string; line ends in it become spaces.
func AppendSimple(dst []byte, s string) []byte { return appendLine(append(dst, '+'), s) }

// AppendError appends an error, whose first word clients go by; line ends in it become spaces.
func AppendError(dst []byte, s string) []byte { return appendLine(append(dst, '-'), s) }

func appendLine(dst []byte, s string) []byte {
	for i := range len(s) {
		c := s[i]
		if c == '\r' || c == '\n' {
			c = ' '
		}
		dst = append(dst, c)
	}
	return append(dst, '\r', '\n')
}

// AppendNull appends the null of the version.
func AppendNull(dst []byte, version int) []byte {
	if version < 3 {
		return append(dst, "$-1\r\n"...)
	}
	return append(dst, "_\r\n"...)
}

// AppendDowngraded appends a whole reply in terms of version 2, for a client that knows no other: maps
// and sets become arrays, nulls, booleans, doubles and big numbers their older likenesses, attributes go.
func AppendDowngraded(dst, reply []byte, lim Limits) []byte {
	_, reply = SplitAttribute(reply, lim)
	head, at, err := line(reply, 0, lim.Inline)
	if err != nil || len(head) == 0 {
		return append(dst, reply...)
	}
	switch head[0] {
	case '_':
		return append(dst, "$-1\r\n"...)
	case '#':
		n := int64(0)
		if len(head) > 1 && head[1] == 't' {
			n = 1
		}
		return AppendInt(dst, n)
	case ',', '(':
		return AppendBulk(dst, string(head[1:]))
	case '=':
		if text := Text(reply, lim); len(text) >= 4 {
			return AppendBulk(dst, text[4:]) // past the format, as "txt:"
		}
		return append(dst, "$0\r\n\r\n"...)
	case '!':
		return AppendError(dst, Text(reply, lim))
	case '*', '~', '>', '%':
		n, _ := number(head[1:])
		if n < 0 {
			return append(dst, reply...)
		}
		if head[0] == '%' {
			n *= 2
		}
		dst = appendHead(dst, '*', n)
		for range n {
			size, err := ReplyLength(reply[at:], lim)
			if err != nil {
				return dst
			}
			dst = AppendDowngraded(dst, reply[at:at+size], lim)
			at += size
		}
		return dst
	}
	return append(dst, reply...)
}
