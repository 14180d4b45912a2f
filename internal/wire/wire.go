// Package wire reads and writes the lines of the simulator's protocol. It handles
// their syntax only; cmd/simhost gives them their meaning.
package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Line is one message: a name and its fields in the order of the input.
type Line struct {
	Name   string
	fields []field
}

type field struct{ name, value string }

// Reader reads lines of any length.
type Reader struct {
	buffered *bufio.Reader
	longLine []byte // buffer for lines longer than that of buffered
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReaderSize(r, 1<<20)} }

// Next reads the next line into l. It returns io.EOF at the end of the input.
func (r *Reader) Next(line *Line) error {
	raw, err := r.buffered.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.longLine = append(r.longLine[:0], raw...)
		for err == bufio.ErrBufferFull {
			raw, err = r.buffered.ReadSlice('\n')
			r.longLine = append(r.longLine, raw...)
		}
		raw = r.longLine
	}
	if err != nil && (err != io.EOF || len(raw) == 0) {
		return err
	}
	return line.parse(string(bytes.TrimRight(raw, "\r\n")))
}

// parse splits a line into its fields. The value of the field settings runs to the end of the line, tabs included.
func (line *Line) parse(s string) error {
	line.fields = line.fields[:0]
	name, rest, more := strings.Cut(s, "\t")
	line.Name = name
	if name == "" {
		return fmt.Errorf("malformed line: no message name")
	}
	for more {
		var part string
		if k, v, ok := strings.Cut(rest, "="); ok && k == "settings" && !strings.Contains(k, "\t") {
			line.fields = append(line.fields, field{k, v})
			return nil
		}
		part, rest, more = strings.Cut(rest, "\t")
		k, v, ok := strings.Cut(part, "=")
		if !ok || k == "" {
			return fmt.Errorf("%s: malformed field %q", name, part)
		}
		line.fields = append(line.fields, field{k, v})
	}
	return nil
}

// Has reports whether the line has the field.
func (line *Line) Has(name string) bool { _, ok := line.value(name); return ok }

// value returns the first value of a field.
func (line *Line) value(name string) (string, bool) {
	for i := range line.fields {
		if line.fields[i].name == name {
			return line.fields[i].value, true
		}
	}
	return "", false
}

// missing returns the error for an absent field.
func (line *Line) missing(k string) error { return fmt.Errorf("%s: field %s is missing", line.Name, k) }

// invalid returns the error for a field whose value cannot be parsed.
func (line *Line) invalid(name, v string) error {
	return fmt.Errorf("%s: field %s cannot be read: %q", line.Name, name, v)
}

// Text returns a required text field.
func (line *Line) Text(name string) (string, error) {
	v, ok := line.value(name)
	if !ok || v == "" {
		return "", line.missing(name)
	}
	return v, nil
}

// Int returns a required whole number.
func (line *Line) Int(name string) (int, error) {
	if !line.Has(name) {
		return 0, line.missing(name)
	}
	return line.OptInt(name)
}

// OptInt returns a whole number, or 0 if the field is absent.
func (line *Line) OptInt(name string) (int, error) {
	v, ok := line.value(name)
	if !ok {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, line.invalid(name, v)
	}
	return n, nil
}

// Uint returns a required whole number of up to 64 bits.
func (line *Line) Uint(name string) (uint64, error) {
	v, ok := line.value(name)
	if !ok {
		return 0, line.missing(name)
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, line.invalid(name, v)
	}
	return n, nil
}

// Num returns a required number.
func (line *Line) Num(name string) (float64, error) {
	if !line.Has(name) {
		return 0, line.missing(name)
	}
	return line.OptNum(name)
}

// OptNum returns a number, or 0 if the field is absent.
func (line *Line) OptNum(name string) (float64, error) {
	v, ok := line.value(name)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x != x || x > 1e18 || x < -1e18 {
		return 0, line.invalid(name, v)
	}
	return x, nil
}

// OptBool returns a bool, or false if the field is absent.
func (line *Line) OptBool(name string) (bool, error) {
	v, ok := line.value(name)
	if !ok || v == "0" {
		return false, nil
	}
	if v != "1" {
		return false, line.invalid(name, v)
	}
	return true, nil
}

// Hex returns the bytes of a required field in hex digits; "-" stands for none.
func (line *Line) Hex(name string) ([]byte, error) {
	v, ok := line.value(name)
	if !ok {
		return nil, line.missing(name)
	}
	if v == "-" {
		return nil, nil
	}
	b, err := hex.DecodeString(v)
	if err != nil {
		return nil, line.invalid(name, v)
	}
	return b, nil
}

// Pairs calls visit for each name:value pair of an optional field. It reports whether there was any.
func (line *Line) Pairs(name string, visit func(name string, v float64)) (bool, error) {
	v, ok := line.value(name)
	if !ok || v == "" {
		return false, nil
	}
	for part := range strings.SplitSeq(v, ",") {
		pairName, text, ok := strings.Cut(part, ":")
		number, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			return false, line.invalid(name, v)
		}
		visit(pairName, number)
	}
	return true, nil
}

// Writer collects the lines of one reply.
type Writer struct {
	output *bufio.Writer
	buf    []byte // the line that is being written
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{output: bufio.NewWriterSize(w, 1<<18)} }

// Begin starts a line about an instance, which stands in the field i.
func (w *Writer) Begin(name string, instance int) *Writer {
	w.buf = append(append(w.buf[:0], name...), "\ti="...)
	w.buf = strconv.AppendInt(w.buf, int64(instance), 10)
	return w
}

// key adds the separator and the name of a field.
func (w *Writer) key(name string) {
	w.buf = append(append(append(w.buf, '\t'), name...), '=')
}

// Str adds a text field; line breaks and tabs become spaces.
func (w *Writer) Str(name, v string) *Writer {
	w.key(name)
	w.buf = append(w.buf, strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(v)...)
	return w
}

// ID adds a field whose text was received over the wire and is returned unchanged.
func (w *Writer) ID(name, v string) *Writer { w.key(name); w.buf = append(w.buf, v...); return w }

// Int adds a whole number.
func (w *Writer) Int(name string, v int64) *Writer {
	w.key(name)
	w.buf = strconv.AppendInt(w.buf, v, 10)
	return w
}

// Num adds a number with six decimals (microseconds for a time in seconds).
func (w *Writer) Num(name string, v float64) *Writer {
	w.key(name)
	w.buf = strconv.AppendFloat(w.buf, v, 'f', 6, 64)
	return w
}

// Hex adds bytes as hex digits, "-" for none.
func (w *Writer) Hex(name string, v []byte) *Writer {
	w.key(name)
	if len(v) == 0 {
		w.buf = append(w.buf, '-')
	}
	w.buf = hex.AppendEncode(w.buf, v)
	return w
}

// End completes the line.
func (w *Writer) End() { w.output.Write(append(w.buf, '\n')) }

// Flush completes the reply with the line NEXT and writes it out.
func (w *Writer) Flush() error {
	w.output.WriteString("NEXT\n")
	return w.output.Flush()
}
