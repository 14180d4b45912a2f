// Command rig2 plays the cases of the second review: it starts ingresses by the deploy file, and stand-ins of clients,
// backends and discovery, on loopback addresses.
//
//	rig2 CASE ROOT RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in its environment it
// does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	root, tmp string
	trouble   bool
	began     = time.Now()

	recordMu   sync.Mutex
	recordFile *os.File
)

// stamp is a time in seconds since the case began.
func stamp(at time.Time) string { return fmt.Sprintf("%9.3f", at.Sub(began).Seconds()) }

// note writes a line to the record.
func note(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, stamp(time.Now())+" "+format+"\n", values...)
}

// say writes a line to the record and to standard output.
func say(format string, values ...any) {
	note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// cannotRun ends the case.
func cannotRun(format string, values ...any) {
	say("could not run: "+format, values...)
	endAll()
	os.RemoveAll(tmp)
	os.Exit(2)
}

var cases = map[string]func() (broken bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE ROOT RECORD")
		os.Exit(2)
	}
	var err error
	if root, err = filepath.Abs(os.Args[2]); err == nil {
		if recordFile, err = os.Create(os.Args[3]); err == nil {
			tmp, err = os.MkdirTemp("", "rig2-")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble = os.Getenv("TROUBLE") != "0"
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { cannotRun("still running after 110 s") })
	note("disruption: %v", trouble)
	broken := cases[os.Args[1]]()
	endAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(tmp)
	}
	if broken {
		say("the rule was broken")
		os.Exit(1)
	}
	say("the rule held")
}

// raw writes a line to the record without the time.
func raw(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, format+"\n", values...)
}
