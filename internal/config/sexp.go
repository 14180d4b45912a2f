package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// file is the grammar of a settings file: a sequence of lists.
type file struct {
	Forms []*node `parser:"@@*"`
}

// node is an atom or a list.
type node struct {
	Pos      lexer.Position
	List     *list   `parser:"  @@"`
	Text     *string `parser:"| @String"`
	Duration *string `parser:"| @Duration"`
	Number   *string `parser:"| @Number"`
	Symbol   *string `parser:"| @Symbol"`
}

type list struct {
	Open  string  `parser:"@'('"`
	Items []*node `parser:"@@*"`
	Close string  `parser:"@')'"`
}

var parser = participle.MustBuild[file](
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

// head is the name that a list begins with, "" for anything else.
func (n *node) head() string {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Symbol == nil {
		return ""
	}
	return *n.List.Items[0].Symbol
}

// args are the items of a list after its name.
func (n *node) args() []*node { return n.List.Items[1:] }

func (n *node) String() string {
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
	return "(" + n.head() + " ..)"
}

// reader walks a parsed file and keeps the first error.
type reader struct{ err error }

// fail notes an error at a place: where, which field, and what would be right.
func (r *reader) fail(n *node, field, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%s: %s: %s", n.Pos, field, fmt.Sprintf(format, args...))
	}
}

// field says how one named list within another is read.
type field struct {
	name     string
	required bool
	many     bool
	read     func(r *reader, n *node)
}

// fields reads the named lists among items. Unknown, repeated and missing ones are errors.
func (r *reader) fields(at *node, where string, items []*node, known []field) {
	seen := map[string]bool{}
	for _, n := range items {
		name := n.head()
		i := 0
		for i < len(known) && known[i].name != name {
			i++
		}
		switch {
		case i == len(known):
			var names []string
			for _, f := range known {
				names = append(names, f.name)
			}
			r.fail(n, where, "unknown %s, want one of: (%s ..)", n, strings.Join(names, " ..) ("))
		case seen[name] && !known[i].many:
			r.fail(n, where+" "+name, "given twice, want it once")
		default:
			seen[name] = true
			known[i].read(r, n)
		}
	}
	for _, f := range known {
		if f.required && !seen[f.name] {
			r.fail(at, where, "(%s ..) is missing", f.name)
		}
	}
}

// one returns the only argument of a list.
func (r *reader) one(n *node, want string) *node {
	if a := n.args(); len(a) == 1 {
		return a[0]
	}
	r.fail(n, n.head(), "holds %d values, want (%s %s)", len(n.args()), n.head(), want)
	return &node{Pos: n.Pos}
}

// name reads a name, as a symbol or a string.
func (r *reader) name(n *node, field string) string {
	switch {
	case n.Symbol != nil:
		return *n.Symbol
	case n.Text != nil && *n.Text != "":
		return *n.Text
	}
	r.fail(n, field, "%s is no name, want a word or a string", n)
	return ""
}

func (r *reader) number(n *node, field string, lo, hi float64) float64 {
	if n.Number == nil {
		r.fail(n, field, "%s is no number, want %g to %g", n, lo, hi)
		return 0
	}
	x, err := strconv.ParseFloat(*n.Number, 64)
	if err != nil || x < lo || x > hi {
		r.fail(n, field, "%s is out of range, want %g to %g", n, lo, hi)
	}
	return x
}

func (r *reader) whole(n *node, field string, lo, hi int) int {
	x := r.number(n, field, float64(lo), float64(hi))
	if x != float64(int(x)) {
		r.fail(n, field, "%s is no whole number, want %d to %d", n, lo, hi)
	}
	return int(x)
}

func (r *reader) duration(n *node, field string, lo, hi time.Duration) time.Duration {
	if n.Duration == nil {
		r.fail(n, field, "%s is no time, want %v to %v with a unit, as 250ms or 1.5s", n, lo, hi)
		return 0
	}
	d, err := time.ParseDuration(*n.Duration)
	if err != nil || d < lo || d > hi {
		r.fail(n, field, "%s is out of range, want %v to %v", n, lo, hi)
	}
	return d
}

// choice reads one of several words.
func choice[T any](r *reader, n *node, field string, words []string, values []T) T {
	if n.Symbol != nil {
		for i, w := range words {
			if w == *n.Symbol {
				return values[i]
			}
		}
	}
	r.fail(n, field, "%s is not known, want %s", n, strings.Join(words, " or "))
	var zero T
	return zero
}

// Readers of fields that hold one value.

func textField(name string, required bool, to *string) field {
	return field{name, required, false, func(r *reader, n *node) { *to = r.name(r.one(n, "NAME"), name) }}
}

func numField(name string, required bool, to *float64, lo, hi float64) field {
	return field{name, required, false, func(r *reader, n *node) { *to = r.number(r.one(n, "NUMBER"), name, lo, hi) }}
}

func intField(name string, required bool, to *int, lo, hi int) field {
	return field{name, required, false, func(r *reader, n *node) { *to = r.whole(r.one(n, "NUMBER"), name, lo, hi) }}
}

func secondsField(name string, required bool, to *float64, lo, hi time.Duration) field {
	return field{name, required, false, func(r *reader, n *node) {
		*to = r.duration(r.one(n, "TIME"), name, lo, hi).Seconds()
	}}
}

func timeField(name string, required bool, to *time.Duration, lo, hi time.Duration) field {
	return field{name, required, false, func(r *reader, n *node) { *to = r.duration(r.one(n, "TIME"), name, lo, hi) }}
}

func choiceField[T any](name string, required bool, to *T, words []string, values []T) field {
	return field{name, required, false, func(r *reader, n *node) {
		*to = choice(r, r.one(n, strings.Join(words, "|")), name, words, values)
	}}
}
