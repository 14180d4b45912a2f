package resp

import "bytes"

// Skipper reads one command without keeping its arguments. Its limits apply to the command as in ParseCommand.
type Skipper struct {
	limits    Limits
	line      []byte // the beginning of an incomplete header
	started   bool   // the header of the command has been read
	arguments int    // arguments whose header has not been read
	remaining int    // bytes of the current argument and its line end that have not been read
	length    int    // of the command so far, with all of the current argument
}

// NewSkipper returns a Skipper that is at the beginning of a command.
func NewSkipper(limits Limits) *Skipper { return &Skipper{limits: limits} }

// Reset puts the Skipper at the beginning of a command.
func (skipper *Skipper) Reset() {
	*skipper = Skipper{limits: skipper.limits, line: skipper.line[:0]}
}

// Started reports whether a part of the command was read.
func (skipper *Skipper) Started() bool { return skipper.started || len(skipper.line) > 0 }

// Skip reads data and returns how many bytes of it belong to the command, and whether the command ends with them. An error
// is a ProtocolError.
func (skipper *Skipper) Skip(data []byte) (used int, done bool, err error) {
	for {
		skipped := min(skipper.remaining, len(data)-used)
		skipper.remaining -= skipped
		used += skipped
		if skipper.started && skipper.remaining == 0 && skipper.arguments == 0 {
			return used, true, nil
		}
		if used == len(data) {
			return used, false, nil
		}
		rest := data[used:]
		end := bytes.IndexByte(rest, '\n')
		line := append(skipper.line, rest[:max(end+1, 0)]...)
		if end < 0 {
			line = append(skipper.line, rest...)
		}
		if len(line) > skipper.limits.Inline+1 {
			return used, false, ProtocolError("too big inline request")
		}
		skipper.line = line
		if end < 0 {
			return len(data), false, nil
		}
		used += end + 1
		if err := skipper.readHeader(); err != nil {
			return used, false, err
		}
		skipper.line = skipper.line[:0]
	}
}

// readHeader reads the header in line: of the command, or of one argument.
func (skipper *Skipper) readHeader() error {
	header, _, err := readLine(skipper.line, 0, skipper.limits.Inline)
	if err != nil {
		return err
	}
	skipper.length += len(skipper.line)
	if !skipper.started {
		skipper.started = true
		if skipper.line[0] != '*' {
			if skipper.limits.ArraysOnly {
				return ProtocolError("expected '*', got '" + printable(skipper.line[0]) + "'")
			}
			return nil // an inline command ends with its line
		}
		count, ok := parseInteger(header[1:])
		if !ok || count > skipper.limits.Args {
			return ProtocolError("invalid multibulk length")
		}
		skipper.arguments = max(count, 0)
		return nil
	}
	if skipper.line[0] != '$' {
		return ProtocolError("expected '$', got '" + printable(skipper.line[0]) + "'")
	}
	size, ok := parseInteger(header[1:])
	if !ok || size < 0 || size > skipper.limits.Bulk {
		return ProtocolError("invalid bulk length")
	}
	skipper.arguments--
	skipper.remaining = size + len("\r\n")
	if skipper.length += skipper.remaining; skipper.limits.Command > 0 && skipper.length > skipper.limits.Command {
		return ProtocolError("too big request")
	}
	return nil
}
