// Command rig plays one case of the review: it starts the ingress by the command of the deploy file, with stand-ins for
// clients, servers and discovery on loopback addresses, and judges one rule by what crossed the sockets.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run. Times are in milliseconds since the start of the run.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// ms returns a time as milliseconds since the start of the run.
func (r *record) ms(at time.Time) float64 { return float64(at.Sub(r.start).Microseconds()) / 1000 }

// note adds a line with the time at which it happened.
func (r *record) note(at time.Time, format string, args ...any) {
	line := fmt.Sprintf("%9.1f ", r.ms(at)) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.lines = append(r.lines, line)
	r.mu.Unlock()
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.note(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}

// save writes the record to a file.
func (r *record) save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	r.mu.Lock()
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	r.mu.Unlock()
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}
