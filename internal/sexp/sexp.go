// Package sexp reads files of S-expressions with a schema: named lists of known fields, each with its range.
// The first error is kept; it names the file, the line, the field and the values that are valid.
package sexp

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// File is the grammar of a settings file: a sequence of lists.
type File struct {
	Forms []*Node `parser:"@@*"`
}

// Node is an atom or a list.
type Node struct {
	Pos      lexer.Position
	List     *List   `parser:"  @@"`
	Text     *string `parser:"| @String"`
	Duration *string `parser:"| @Duration"`
	Number   *string `parser:"| @Number"`
	Symbol   *string `parser:"| @Symbol"`
}

// List is a parenthesised sequence.
type List struct {
	Open  string  `parser:"@'('"`
	Items []*Node `parser:"@@*"`
	Close string  `parser:"@')'"`
}

var parser = participle.MustBuild[File](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Duration", Pattern: `[0-9]+(\.[0-9]+)?(ms|s|m|h)\b`},
		{Name: "Number", Pattern: `-?[0-9]+(\.[0-9]+)?\b`},
		{Name: "Symbol", Pattern: `[A-Za-z][A-Za-z0-9_.-]*`},
		{Name: "Paren", Pattern: `[()]`},
	})),
	participle.Elide("Comment", "Space"),
	participle.Unquote("String"),
)

// Head returns the name that a list begins with, "" for anything else.
func (node *Node) Head() string {
	if node.List == nil || len(node.List.Items) == 0 || node.List.Items[0].Symbol == nil {
		return ""
	}
	return *node.List.Items[0].Symbol
}

// Args returns the items of a list after its name.
func (node *Node) Args() []*Node { return node.List.Items[1:] }

// String returns the node as it stands in a file; a list is shortened to its name.
func (node *Node) String() string {
	switch {
	case node.Text != nil:
		return strconv.Quote(*node.Text)
	case node.Symbol != nil:
		return *node.Symbol
	case node.Number != nil:
		return *node.Number
	case node.Duration != nil:
		return *node.Duration
	}
	return "(" + node.Head() + " ..)"
}

// Reader walks a parsed file and keeps the first error.
type Reader struct{ Err error }

// Fail records an error at the position of a node unless one is recorded already. The text says which values are valid.
func (reader *Reader) Fail(node *Node, field, format string, args ...any) {
	if reader.Err == nil {
		reader.Err = fmt.Errorf("%s: %s: %s", node.Pos, field, fmt.Sprintf(format, args...))
	}
}

// Field describes how one named list within another is read.
type Field struct {
	Name       string
	Required   bool
	Repeatable bool
	Read       func(reader *Reader, node *Node)
}

// Fields reads the named lists in items. An unknown list, a repeated one that is not Repeatable and a missing one that
// is Required are errors.
func (reader *Reader) Fields(parent *Node, context string, items []*Node, known []Field) {
	seen := map[string]bool{}
	for _, node := range items {
		name := node.Head()
		i := 0
		for i < len(known) && known[i].Name != name {
			i++
		}
		switch {
		case i == len(known):
			var names []string
			for _, field := range known {
				names = append(names, field.Name)
			}
			reader.Fail(node, context, "unknown %s, want one of: (%s ..)", node, strings.Join(names, " ..) ("))
		case seen[name] && !known[i].Repeatable:
			reader.Fail(node, context+" "+name, "given twice, want it once")
		default:
			seen[name] = true
			known[i].Read(reader, node)
		}
	}
	for _, field := range known {
		if field.Required && !seen[field.Name] {
			reader.Fail(parent, context, "(%s ..) is missing", field.Name)
		}
	}
}

// SingleArg returns the only argument of a list; any other number of arguments is an error.
func (reader *Reader) SingleArg(node *Node, want string) *Node {
	if args := node.Args(); len(args) == 1 {
		return args[0]
	}
	reader.Fail(node, node.Head(), "holds %d values, want (%s %s)", len(node.Args()), node.Head(), want)
	return &Node{Pos: node.Pos}
}

// Name reads a name, as a symbol or a string.
func (reader *Reader) Name(node *Node, field string) string {
	switch {
	case node.Symbol != nil:
		return *node.Symbol
	case node.Text != nil && *node.Text != "":
		return *node.Text
	}
	reader.Fail(node, field, "%s is no name, want a word or a string", node)
	return ""
}

// Number reads a number within a range.
func (reader *Reader) Number(node *Node, field string, minimum, maximum float64) float64 {
	if node.Number == nil {
		reader.Fail(node, field, "%s is no number, want %g to %g", node, minimum, maximum)
		return 0
	}
	value, err := strconv.ParseFloat(*node.Number, 64)
	if err != nil || value < minimum || value > maximum {
		reader.Fail(node, field, "%s is out of range, want %g to %g", node, minimum, maximum)
	}
	return value
}

// Int reads an integer within a range.
func (reader *Reader) Int(node *Node, field string, minimum, maximum int) int {
	value := reader.Number(node, field, float64(minimum), float64(maximum))
	if value != float64(int(value)) {
		reader.Fail(node, field, "%s is no whole number, want %d to %d", node, minimum, maximum)
	}
	return int(value)
}

// Duration reads a duration with its unit, within a range.
func (reader *Reader) Duration(node *Node, field string, minimum, maximum time.Duration) time.Duration {
	if node.Duration == nil {
		reader.Fail(node, field, "%s is no time, want %v to %v with a unit, as 250ms or 1.5s", node, minimum, maximum)
		return 0
	}
	duration, err := time.ParseDuration(*node.Duration)
	if err != nil || duration < minimum || duration > maximum {
		reader.Fail(node, field, "%s is out of range, want %v to %v", node, minimum, maximum)
	}
	return duration
}

// Choice reads one of several words.
func Choice[T any](reader *Reader, node *Node, field string, words []string, values []T) T {
	if node.Symbol != nil {
		for i, word := range words {
			if word == *node.Symbol {
				return values[i]
			}
		}
	}
	reader.Fail(node, field, "%s is not known, want %s", node, strings.Join(words, " or "))
	var zero T
	return zero
}

// NameField is a field that holds a name.
func NameField(name string, required bool, target *string) Field {
	return Field{name, required, false, func(reader *Reader, node *Node) { *target = reader.Name(reader.SingleArg(node, "NAME"), name) }}
}

// NumberField is a field that holds a number.
func NumberField(name string, required bool, target *float64, minimum, maximum float64) Field {
	return Field{name, required, false, func(reader *Reader, node *Node) {
		*target = reader.Number(reader.SingleArg(node, "NUMBER"), name, minimum, maximum)
	}}
}

// IntField is a field that holds an integer.
func IntField(name string, required bool, target *int, minimum, maximum int) Field {
	return Field{name, required, false, func(reader *Reader, node *Node) {
		*target = reader.Int(reader.SingleArg(node, "NUMBER"), name, minimum, maximum)
	}}
}

// SecondsField is a field that holds a duration, stored as seconds.
func SecondsField(name string, required bool, target *float64, minimum, maximum time.Duration) Field {
	return Field{name, required, false, func(reader *Reader, node *Node) {
		*target = reader.Duration(reader.SingleArg(node, "TIME"), name, minimum, maximum).Seconds()
	}}
}

// DurationField is a field that holds a duration.
func DurationField(name string, required bool, target *time.Duration, minimum, maximum time.Duration) Field {
	return Field{name, required, false, func(reader *Reader, node *Node) {
		*target = reader.Duration(reader.SingleArg(node, "TIME"), name, minimum, maximum)
	}}
}

// ChoiceField is a field that holds one of several words.
func ChoiceField[T any](name string, required bool, target *T, words []string, values []T) Field {
	return Field{name, required, false, func(reader *Reader, node *Node) {
		*target = Choice(reader, reader.SingleArg(node, strings.Join(words, "|")), name, words, values)
	}}
}

// Parse parses a text; errors name path as its file.
func Parse(path, text string) (*File, error) { return parser.ParseString(path, text) }

// NameAndArgs reads the first argument of a list as a name and returns it with the remaining arguments.
func (reader *Reader) NameAndArgs(node *Node) (string, []*Node) {
	if len(node.Args()) == 0 {
		reader.Fail(node, node.Head(), "holds nothing, want (%s NAME ..)", node.Head())
		return "", nil
	}
	return reader.Name(node.Args()[0], node.Head()), node.Args()[1:]
}
