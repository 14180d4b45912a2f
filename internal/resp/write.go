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

// AppendArgs is like AppendCommand, for arguments as byte slices.
func AppendArgs(dst []byte, args [][]byte) []byte {
	dst = AppendArrayHeader(dst, len(args))
	for _, a := range args {
		dst = appendHeader(dst, '$', len(a))
		dst = append(append(dst, a...), '\r', '\n')
	}
	return dst
}

// appendHeader appends a header: the type and a number.
func appendHeader(dst []byte, kind byte, n int) []byte {
	dst = strconv.AppendInt(append(dst, kind), int64(n), 10)
	return append(dst, '\r', '\n')
}

// AppendArrayHeader appends the header of an array of n elements, which the caller appends next.
func AppendArrayHeader(dst []byte, n int) []byte { return appendHeader(dst, '*', n) }

// AppendMapHeader appends the header of a map of n pairs, which in version 2 is an array of 2*n elements.
func AppendMapHeader(dst []byte, version, n int) []byte {
	if version < 3 {
		return appendHeader(dst, '*', 2*n)
	}
	return appendHeader(dst, '%', n)
}

// AppendInt appends an integer.
func AppendInt(dst []byte, n int64) []byte {
	return append(strconv.AppendInt(append(dst, ':'), n, 10), '\r', '\n')
}

// AppendBulk appends a bulk string, which may contain any bytes.
func AppendBulk(dst []byte, s string) []byte {
	dst = appendHeader(dst, '$', len(s))
	return append(append(dst, s...), '\r', '\n')
}

// AppendSimple appends a simple string; carriage returns and newlines in it are replaced with spaces.
func AppendSimple(dst []byte, s string) []byte { return appendLine(append(dst, '+'), s) }

// AppendError appends an error, whose first word is the error code for clients; carriage returns and newlines in it are
// replaced with spaces.
func AppendError(dst []byte, s string) []byte { return appendLine(append(dst, '-'), s) }

// appendLine appends a line, with spaces in place of carriage returns and newlines.
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

// AppendNull appends a null in the encoding of the version.
func AppendNull(dst []byte, version int) []byte {
	if version < 3 {
		return append(dst, "$-1\r\n"...)
	}
	return append(dst, "_\r\n"...)
}

// AppendDowngraded appends a complete reply converted to version 2: maps and sets become arrays; nulls, booleans, doubles, big
// numbers, verbatim strings and bulk errors become the closest type of version 2; attributes are omitted.
func AppendDowngraded(dst, reply []byte, lim Limits) []byte {
	_, reply = SplitAttribute(reply, lim)
	header, offset, err := readLine(reply, 0, lim.Inline)
	if err != nil || len(header) == 0 {
		return append(dst, reply...)
	}
	switch header[0] {
	case '_':
		return append(dst, "$-1\r\n"...)
	case '#':
		n := int64(0)
		if len(header) > 1 && header[1] == 't' {
			n = 1
		}
		return AppendInt(dst, n)
	case ',', '(':
		return AppendBulk(dst, string(header[1:]))
	case '=':
		if text := Text(reply, lim); len(text) >= 4 {
			return AppendBulk(dst, text[4:]) // without the format, such as "txt:"
		}
		return append(dst, "$0\r\n\r\n"...)
	case '!':
		return AppendError(dst, Text(reply, lim))
	case '*', '~', '>', '%':
		n, _ := parseInteger(header[1:])
		if n < 0 {
			return append(dst, reply...)
		}
		if header[0] == '%' {
			n *= 2
		}
		dst = appendHeader(dst, '*', n)
		for range n {
			size, err := ReplyLength(reply[offset:], lim)
			if err != nil {
				return dst
			}
			dst = AppendDowngraded(dst, reply[offset:offset+size], lim)
			offset += size
		}
		return dst
	}
	return append(dst, reply...)
}
