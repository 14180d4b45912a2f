package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// errSyntax means that what came is no RESP2.
var errSyntax = errors.New("input is no RESP2")

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", errSyntax
	}
	return line[:len(line)-2], nil
}

// readBulk reads a bulk string; null is returned as "", false.
func readBulk(r *bufio.Reader) (string, bool, error) {
	line, err := readLine(r)
	if err != nil {
		return "", false, err
	}
	if len(line) < 2 || line[0] != '$' {
		return "", false, errSyntax
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < -1 || n > 64<<10 {
		return "", false, errSyntax
	}
	if n < 0 {
		return "", false, nil
	}
	buf := make([]byte, n+2)
	if _, err := io.ReadFull(r, buf); err != nil {
		return "", false, err
	}
	return string(buf[:n]), true, nil
}

// readCommand reads a command: an array of bulk strings.
func readCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if len(line) < 2 || line[0] != '*' {
		return nil, errSyntax
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > 8 {
		return nil, errSyntax
	}
	words := make([]string, n)
	for i := range words {
		word, ok, err := readBulk(r)
		if err != nil {
			return nil, err
		} else if !ok {
			return nil, errSyntax
		}
		words[i] = word
	}
	return words, nil
}

// command encodes a command.
func command(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(b.String())
}

// answer is an ingress's answer to a request.
type answer struct {
	served bool
	text   string // the value, or the line
}

// readAnswer reads one answer of an ingress.
func readAnswer(r *bufio.Reader) (answer, error) {
	first, err := r.Peek(1)
	if err != nil {
		return answer{}, err
	}
	if first[0] == '$' {
		text, ok, err := readBulk(r)
		return answer{served: ok, text: text}, err
	}
	line, err := readLine(r)
	return answer{text: line}, err
}

// field returns the value of a name in a list of names and values.
func field(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if key, value, ok := strings.Cut(pair, "="); ok && key == name {
			return value
		}
	}
	return ""
}
