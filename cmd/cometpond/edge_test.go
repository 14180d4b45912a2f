package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A bad configuration ends the command before it listens, with one line that names the fault.
func TestEdgeRejectsBadConfiguration(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(broken, []byte(`{"listen":"127.0.0.1:1","settings":{}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ path, names string }{{"", "EDGE_CONFIG"}, {broken + ".none", "EDGE_CONFIG"}, {broken, "discovery"}} {
		t.Setenv("EDGE_CONFIG", test.path)
		cmd := rootCommand()
		cmd.SetArgs([]string{"edge"})
		var output bytes.Buffer
		cmd.SetOut(&output)
		cmd.SetErr(&output)
		if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), test.names) || strings.Contains(err.Error(), "\n") || output.Len() > 0 {
			t.Errorf("%q: %v, %q, want one line that names %s", test.path, err, output.String(), test.names)
		}
	}
}
