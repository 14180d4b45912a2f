// Package wire reads and writes the lines of the simulator's protocol. It handles
// their syntax; the caller interprets them.
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

// Line is one message: a name and its fields in the order received.
type Line struct {
	Name   string
	fields []field
}

// field is one name=value pair of a line.
type field struct{ name, value string }

// Reader reads lines from an input.
type Reader struct {
	input    *bufio.Reader
	longLine []byte
}

// NewReader returns a Reader on r.
func NewReader(input io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(input, 1<<20)} }

// Next reads the next line into line. It returns io.EOF at the end of the input.
func (reader *Reader) Next(line *Line) error {
	raw, err := reader.input.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		reader.longLine = append(reader.longLine[:0], raw...)
		for err == bufio.ErrBufferFull {
			raw, err = reader.input.ReadSlice('\n')
			reader.longLine = append(reader.longLine, raw...)
		}
		raw = reader.longLine
	}
	if err != nil && (err != io.EOF || len(raw) == 0) {
		return err
	}
	return line.parse(string(bytes.TrimRight(raw, "\r\n")))
}

// parse splits a line at its tabs; the value of the field settings runs to the end of the line.
func (line *Line) parse(text string) error {
	line.fields = line.fields[:0]
	name, rest, more := strings.Cut(text, "\t")
	line.Name = name
	if name == "" {
		return fmt.Errorf("malformed line: no message name")
	}
	for more {
		var part string
		if key, value, ok := strings.Cut(rest, "="); ok && key == "settings" && !strings.Contains(key, "\t") {
			line.fields = append(line.fields, field{key, value})
			return nil
		}
		part, rest, more = strings.Cut(rest, "\t")
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return fmt.Errorf("%s: malformed field %q", name, part)
		}
		line.fields = append(line.fields, field{key, value})
	}
	return nil
}

// Has reports whether the line contains the field.
func (line *Line) Has(name string) bool { _, ok := line.get(name); return ok }

func (line *Line) get(name string) (string, bool) {
	for i := range line.fields {
		if line.fields[i].name == name {
			return line.fields[i].value, true
		}
	}
	return "", false
}

func (line *Line) missing(name string) error {
	return fmt.Errorf("%s: field %s is missing", line.Name, name)
}

func (line *Line) malformed(name, value string) error {
	return fmt.Errorf("%s: field %s cannot be read: %q", line.Name, name, value)
}

// Text returns a required text field, which must not be empty.
func (line *Line) Text(name string) (string, error) {
	value, ok := line.get(name)
	if !ok || value == "" {
		return "", line.missing(name)
	}
	return value, nil
}

// Int returns a required integer.
func (line *Line) Int(name string) (int, error) {
	if !line.Has(name) {
		return 0, line.missing(name)
	}
	return line.OptInt(name)
}

// OptInt returns an optional integer, 0 if the field is absent.
func (line *Line) OptInt(name string) (int, error) {
	value, ok := line.get(name)
	if !ok {
		return 0, nil
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		return 0, line.malformed(name, value)
	}
	return number, nil
}

// Uint returns a required unsigned integer of up to 64 bits.
func (line *Line) Uint(name string) (uint64, error) {
	value, ok := line.get(name)
	if !ok {
		return 0, line.missing(name)
	}
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, line.malformed(name, value)
	}
	return number, nil
}

// Float returns a required number.
func (line *Line) Float(name string) (float64, error) {
	if !line.Has(name) {
		return 0, line.missing(name)
	}
	return line.OptFloat(name)
}

// OptFloat returns an optional number, 0 if the field is absent.
func (line *Line) OptFloat(name string) (float64, error) {
	value, ok := line.get(name)
	if !ok {
		return 0, nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || number != number || number > 1e18 || number < -1e18 {
		return 0, line.malformed(name, value)
	}
	return number, nil
}

// OptBool returns an optional bool, false if the field is absent.
func (line *Line) OptBool(name string) (bool, error) {
	value, ok := line.get(name)
	if !ok || value == "0" {
		return false, nil
	}
	if value != "1" {
		return false, line.malformed(name, value)
	}
	return true, nil
}

// Hex returns a required field of hexadecimal bytes, nil for "-".
func (line *Line) Hex(name string) ([]byte, error) {
	value, ok := line.get(name)
	if !ok {
		return nil, line.missing(name)
	}
	if value == "-" {
		return nil, nil
	}
	decoded, err := hex.DecodeString(value)
	if err != nil {
		return nil, line.malformed(name, value)
	}
	return decoded, nil
}

// Pairs calls visit for each name:value pair of an optional field and reports whether the field has any.
func (line *Line) Pairs(name string, visit func(name string, value float64)) (bool, error) {
	value, ok := line.get(name)
	if !ok || value == "" {
		return false, nil
	}
	for part := range strings.SplitSeq(value, ",") {
		key, text, ok := strings.Cut(part, ":")
		number, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			return false, line.malformed(name, value)
		}
		visit(key, number)
	}
	return true, nil
}

// Writer buffers the lines of one reply.
type Writer struct {
	output *bufio.Writer
	line   []byte
}

// NewWriter returns a Writer on w.
func NewWriter(output io.Writer) *Writer { return &Writer{output: bufio.NewWriterSize(output, 1<<18)} }

// Begin starts a line that belongs to an instance.
func (writer *Writer) Begin(name string, instance int) *Writer {
	writer.line = append(append(writer.line[:0], name...), "\ti="...)
	writer.line = strconv.AppendInt(writer.line, int64(instance), 10)
	return writer
}

func (writer *Writer) startField(name string) {
	writer.line = append(append(append(writer.line, '\t'), name...), '=')
}

// Text adds a text field.
func (writer *Writer) Text(name, value string) *Writer {
	writer.startField(name)
	writer.line = append(writer.line, strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(value)...)
	return writer
}

// ID adds a field whose text came from the wire and is returned unchanged.
func (writer *Writer) ID(name, value string) *Writer {
	writer.startField(name)
	writer.line = append(writer.line, value...)
	return writer
}

// Int adds an integer.
func (writer *Writer) Int(name string, value int64) *Writer {
	writer.startField(name)
	writer.line = strconv.AppendInt(writer.line, value, 10)
	return writer
}

// Float adds a number with six decimals.
func (writer *Writer) Float(name string, value float64) *Writer {
	writer.startField(name)
	writer.line = strconv.AppendFloat(writer.line, value, 'f', 6, 64)
	return writer
}

// Hex adds a field of bytes in hexadecimal, "-" for none.
func (writer *Writer) Hex(name string, value []byte) *Writer {
	writer.startField(name)
	if len(value) == 0 {
		writer.line = append(writer.line, '-')
	}
	writer.line = hex.AppendEncode(writer.line, value)
	return writer
}

// End writes the line to the buffer.
func (writer *Writer) End() { writer.output.Write(append(writer.line, '\n')) }

// Flush ends the reply and sends it.
func (writer *Writer) Flush() error {
	writer.output.WriteString("NEXT\n")
	return writer.output.Flush()
}
