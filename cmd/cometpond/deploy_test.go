package main

import (
	"debug/elf"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The platform preloads a library into the process that the key run starts. A program that is not linked against the C
// library, or that is a child of a shell, doesn't get it. test.sh builds the programs first, with the platform's command.
func TestDeployedProgram(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	runLine := regexp.MustCompile(`(?m)^run = "exec (bin/\S+)( [^"&|;]*)?"$`).FindSubmatch(text)
	if runLine == nil {
		t.Fatal("deploy/balancer.toml: run is not one exec of one program in bin/")
	}
	for _, name := range []string{string(runLine[1]), "bin/simhost"} {
		file, err := elf.Open(filepath.Join(root, name))
		if err != nil {
			t.Fatalf("%v: build it first, as test.sh does", err)
		}
		defer file.Close()
		needed, err := file.DynString(elf.DT_NEEDED)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.ContainsFunc(needed, func(library string) bool { return strings.HasPrefix(library, "libc.so") }) {
			t.Errorf("%s needs %v, want the C library among them: go build -ldflags=-linkmode=external with cgo on", name, needed)
		}
		if file.Section(".interp") == nil {
			t.Errorf("%s names no dynamic loader", name)
		}
	}
}
