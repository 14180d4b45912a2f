package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The results of a case, which are the exit codes of its script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// stage is what every case gets.
type stage struct {
	rec     *record
	repo    string
	dir     string // a temporary folder
	trouble bool
}

var cases = map[string]func(*stage) (int, error){"foreign": foreign, "memory": memory, "withheld": withheld, "slow": slowDiscovery, "starve": starve, "gone": gone,
	"collide": collide, "two": twoProcesses, "same-id": sameID, "older": olderList, "hanging": hangingDiscovery, "crowd": crowd}

func main() {
	repo := flag.String("repo", "", "root of the repository")
	path := flag.String("record", "", "file for the record")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil || *repo == "" || *path == "" {
		fmt.Fprintln(os.Stderr, "usage: rig -repo DIR -record FILE CASE")
		os.Exit(cannotRun)
	}
	os.Exit(run(play, *repo, *path))
}

func run(play func(*stage) (int, error), repo, path string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	st := &stage{rec: newRecord(), repo: repo, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	st.rec.say("trouble=%v", st.trouble)
	result, err := play(st)
	if err != nil {
		st.rec.say("the case could not run: %v", err)
		result = cannotRun
	}
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		if text, err := os.ReadFile(filepath.Join(dir, "ingress.log")); err == nil {
			os.WriteFile(keep, text, 0o644)
		}
	}
	st.rec.say("exit code %d", result)
	if err := st.rec.save(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	return result
}
