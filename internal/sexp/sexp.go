// Package sexp reads files of S-expressions with a schema: named lists of known fields, each with its range.
// What is wrong is told once, with file, line and field, and with what would be right.
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

// Head is the name that a list begins with, "" for anything else.
func (n *Node) Head() string {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Symbol == nil {
		return ""
	}
	return *n.List.Items[0].Symbol
}

// Args are the items of a list after its name.
func (n *Node) Args() []*Node { return n.List.Items[1:] }

func (n *Node) String() string {
	switch {
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	case n.Symbol != nil:
		return *n.Symbol
	case n.Number != nil:
		return *n.Number
	case n.Duration != nil:
		return *n.Duration
	}
	return "(" + n.Head() + " ..)"
}

// Reader walks a parsed file and keeps the first error.
type Reader struct{ Err error }

// Fail notes an error at a place: where, which field, and what would be right.
func (r *Reader) Fail(n *Node, field, format string, args ...any) {
	if r.Err == nil {
		r.Err = fmt.Errorf("%s: %s: %s", n.Pos, field, fmt.Sprintf(format, args...))
	}
}

// Field says how one named list within another is read.
type Field struct {
	Name       string
	Required   bool
	Repeatable bool
	Read       func(r *Reader, n *Node)
}

// Fields reads the named lists among items. Unknown, repeated and missing ones are errors.
func (r *Reader) Fields(at *Node, where string, items []*Node, known []Field) {
	seen := map[string]bool{}
	for _, n := range items {
		name := n.Head()
		i := 0
		for i < len(known) && known[i].Name != name {
			i++
		}
		switch {
		case i == len(known):
			var names []string
			for _, f := range known {
				names = append(names, f.Name)
			}
			r.Fail(n, where, "unknown %s, want one of: (%s ..)", n, strings.Join(names, " ..) ("))
		case seen[name] && !known[i].Repeatable:
			r.Fail(n, where+" "+name, "given twice, want it once")
		default:
			seen[name] = true
			known[i].Read(r, n)
		}
	}
	for _, f := range known {
		if f.Required && !seen[f.Name] {
			r.Fail(at, where, "(%s ..) is missing", f.Name)
		}
	}
}

// SingleArg returns the only argument of a list.
func (r *Reader) SingleArg(n *Node, want string) *Node {
	if a := n.Args(); len(a) == 1 {
		return a[0]
	}
	r.Fail(n, n.Head(), "holds %d values, want (%s %s)", len(n.Args()), n.Head(), want)
	return &Node{Pos: n.Pos}
}

// Name reads a name, as a symbol or a string.
func (r *Reader) Name(n *Node, field string) string {
	switch {
	case n.Symbol != nil:
		return *n.Symbol
	case n.Text != nil && *n.Text != "":
		return *n.Text
	}
	r.Fail(n, field, "%s is no name, want a word or a string", n)
	return ""
}

// Number reads a number within a range.
func (r *Reader) Number(n *Node, field string, lo, hi float64) float64 {
	if n.Number == nil {
		r.Fail(n, field, "%s is no number, want %g to %g", n, lo, hi)
		return 0
	}
	x, err := strconv.ParseFloat(*n.Number, 64)
	if err != nil || x < lo || x > hi {
		r.Fail(n, field, "%s is out of range, want %g to %g", n, lo, hi)
	}
	return x
}

// Int reads a whole number within a range.
func (r *Reader) Int(n *Node, field string, lo, hi int) int {
	x := r.Number(n, field, float64(lo), float64(hi))
	if x != float64(int(x)) {
		r.Fail(n, field, "%s is no whole number, want %d to %d", n, lo, hi)
	}
	return int(x)
}

// Duration reads a time with its unit, within a range.
func (r *Reader) Duration(n *Node, field string, lo, hi time.Duration) time.Duration {
	if n.Duration == nil {
		r.Fail(n, field, "%s is no time, want %v to %v with a unit, as 250ms or 1.5s", n, lo, hi)
		return 0
	}
	d, err := time.ParseDuration(*n.Duration)
	if err != nil || d < lo || d > hi {
		r.Fail(n, field, "%s is out of range, want %v to %v", n, lo, hi)
	}
	return d
}

// Choice reads one of several words.
func Choice[T any](r *Reader, n *Node, field string, words []string, values []T) T {
	if n.Symbol != nil {
		for i, w := range words {
			if w == *n.Symbol {
				return values[i]
			}
		}
	}
	r.Fail(n, field, "%s is not known, want %s", n, strings.Join(words, " or "))
	var zero T
	return zero
}

// NameField is a field that holds a name.
func NameField(name string, required bool, to *string) Field {
	return Field{name, required, false, func(r *Reader, n *Node) { *to = r.Name(r.SingleArg(n, "NAME"), name) }}
}

// NumberField is a field that holds a number.
func NumberField(name string, required bool, to *float64, lo, hi float64) Field {
	return Field{name, required, false, func(r *Reader, n *Node) { *to = r.Number(r.SingleArg(n, "NUMBER"), name, lo, hi) }}
}

// IntField is a field that holds a whole number.
func IntField(name string, required bool, to *int, lo, hi int) Field {
	return Field{name, required, false, func(r *Reader, n *Node) { *to = r.Int(r.SingleArg(n, "NUMBER"), name, lo, hi) }}
}

// SecondsField is a field that holds a time, as seconds.
func SecondsField(name string, required bool, to *float64, lo, hi time.Duration) Field {
	return Field{name, required, false, func(r *Reader, n *Node) {
		*to = r.Duration(r.SingleArg(n, "TIME"), name, lo, hi).Seconds()
	}}
}

// DurationField is a field that holds a time.
func DurationField(name string, required bool, to *time.Duration, lo, hi time.Duration) Field {
	return Field{name, required, false, func(r *Reader, n *Node) { *to = r.Duration(r.SingleArg(n, "TIME"), name, lo, hi) }}
}

// ChoiceField is a field that holds one of several words.
func ChoiceField[T any](name string, required bool, to *T, words []string, values []T) Field {
	return Field{name, required, false, func(r *Reader, n *Node) {
		*to = Choice(r, r.SingleArg(n, strings.Join(words, "|")), name, words, values)
	}}
}

// Parse reads a text; path is used in errors.
func Parse(path, text string) (*File, error) { return parser.ParseString(path, text) }

// NameAndArgs reads the name that a list begins with and returns it with the rest.
func (r *Reader) NameAndArgs(n *Node) (string, []*Node) {
	if len(n.Args()) == 0 {
		r.Fail(n, n.Head(), "holds nothing, want (%s NAME ..)", n.Head())
		return "", nil
	}
	return r.Name(n.Args()[0], n.Head()), n.Args()[1:]
}
