package soak

import (
	"os"
	"strings"
	"sync"
	"testing"
)

// Guards against configurations that are lost, or mixed, when two series of scenarios write that of the same ingress at once.
func TestConfigurationIsWrittenConcurrently(t *testing.T) {
	cfg := &configuration{folder: t.TempDir(), listen: "127.0.0.1:1", peerListen: "127.0.0.1:2"}
	var writers sync.WaitGroup
	for range 8 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for range 100 {
				if err := cfg.write("n0", "127.0.0.1:3", "null", "{}", 256, 1); err != nil {
					t.Error(err)
					return
				}
			}
		}()
	}
	writers.Wait()
	text, err := os.ReadFile(cfg.path())
	if err != nil || !strings.HasSuffix(string(text), `"settings":{}}`) {
		t.Errorf("%q, %v", text, err)
	}
}
