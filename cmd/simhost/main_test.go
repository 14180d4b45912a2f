package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"cometpond/policy"
)

const settingsText = `{"balancers":2,"me":%d,"limits":{"maxAttempts":3,"peerMessages":true},"familyInfo":{"peerIntake":40},` +
	`"profiles":[{"name":"read","aimS":1,"deadlineS":2,"effect":"retryable","worth":1,"unknown":[1]}],` +
	`"packages":[{"name":"basic","unitsPerS":2,"peakUnits":8,"pays":1,"excessCost":1}],"later":{"x":1}}`

// startBatch returns a batch that starts an instance and gives it a list of servers.
func startBatch(instance int) string {
	return fmt.Sprintf("CLOCK\ttimeS=10\nENLIST\ti=%d\tentropy=7\tsettings="+settingsText+"\n", instance, instance) +
		"REGISTER\trosterId=0\tlines=1\nITEM\tbackend=10.0.0.1:80\thall=a\tflavor=k\tunitGroup=0\tstatus=U\tshare=1\n" +
		fmt.Sprintf("PEERS_KNOWN\ti=%d\trosterId=0\tkind=Persisted\trevision=1\nYOUR_TURN\n", instance)
}

// requestLine returns a request to an instance.
func requestLine(instance int, id string) string {
	return fmt.Sprintf("REQUEST\ti=%d\tid=%s\tbase=0\ttier=basic\tdropDeadS=12\tnEntries=2\tcostUnits=1\tkind=read\tholder=key:x\tnew=1\n", instance, id)
}

// play runs the host on the input and returns its output.
func play(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatchesAreAnswered(t *testing.T) {
	out, err := play(t, "CLOCK\ttimeS=9\nYOUR_TURN\n"+startBatch(0)+"CLOCK\ttimeS=10.1\n"+requestLine(0, "a")+"YOUR_TURN\n"+
		"CLOCK\ttimeS=10.2\nVERDICT\ti=0\tid=a\tbackend=10.0.0.1:80\tterminal=1\tspentS=0.1\tcode=200\thop=0\tload=cpu_share:0.5,new:3\n"+
		"VERDICT\ti=0\tid=gone\tbackend=10.0.0.1:80\tcode=504\thop=0\nHANGUP\ti=0\tid=a\nALARM\ti=0\tmark=9\n"+
		"DATAGRAM\ti=0\tsender=1\tdata=0102\nDATAGRAM\ti=0\tsender=1\tdata=-\nALARM\ti=5\tmark=1\nYOUR_TURN\n"+
		"CLOCK\ttimeS=10.3\nDOWN\ti=0\nYOUR_TURN\n")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "NEXT\n"); n != 5 {
		t.Fatalf("%d replies to 5 batches:\n%s", n, out)
	}
	if strings.Count(out, "FORWARD\ti=0\tid=a\tbackend=10.0.0.1:80\twithinS=") != 1 {
		t.Fatalf("want one FORWARD of a:\n%s", out)
	}
}

func TestBadInputIsNamed(t *testing.T) {
	for want, in := range map[string]string{
		"NOVEL: unknown message":                    "NOVEL\ti=0\n",
		"REQUEST: field dropDeadS is missing":       "REQUEST\ti=0\tid=a\tkind=read\ttier=basic\tholder=x\n",
		"REQUEST: field dropDeadS cannot be read":   strings.Replace(requestLine(0, "a"), "dropDeadS=12", "dropDeadS=soon", 1),
		"REQUEST: malformed field":                  "REQUEST\ti\n",
		"ALARM: field mark cannot be read":          "ALARM\ti=0\tmark=-1\n",
		"ALARM: field i is missing":                 "ALARM\tmark=1\n",
		"VERDICT: field code cannot be read":        "VERDICT\ti=0\tid=a\tbackend=b\thop=0\tcode=299\n",
		"DATAGRAM: field data cannot be read":       "DATAGRAM\ti=0\tsender=1\tdata=xyz\n",
		"PEERS_KNOWN: field rosterId names no list": "PEERS_KNOWN\ti=0\trosterId=9\tkind=Complete\trevision=1\n",
		"ITEM: field status cannot be read":         "REGISTER\trosterId=0\tlines=1\nITEM\tbackend=b\thall=a\tstatus=Z\n",
		"ENLIST: field settings":                    "ENLIST\ti=0\tentropy=1\tsettings={\n",
		"gateways is 0":                             "ENLIST\ti=0\tentropy=1\tsettings={}\n",
		"input ended within a batch":                "",
	} {
		_, err := play(t, "CLOCK\ttimeS=1\n"+in)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
	if _, err := play(t, requestLine(0, "a")); err == nil {
		t.Error("an event outside a batch was accepted")
	}
	if _, err := play(t, ""); err != nil {
		t.Errorf("the end of the input is no error: %v", err)
	}
}

// The same events produce the same actions, however instances are distributed over processes.
func TestInstancesShareNothing(t *testing.T) {
	var combined, single strings.Builder
	combined.WriteString(startBatch(0))
	single.WriteString(startBatch(0))
	combined.WriteString(startBatch(1))
	for batch := range 50 {
		clock := fmt.Sprintf("CLOCK\ttimeS=%g\n", 10.1+float64(batch)*0.02)
		requests := requestLine(0, fmt.Sprint("m", batch)) + "ALARM\ti=0\tmark=1\n"
		combined.WriteString(clock + requestLine(1, fmt.Sprint("o", batch)) + requests + "ALARM\ti=1\tmark=1\nYOUR_TURN\n")
		single.WriteString(clock + requests + "YOUR_TURN\n")
	}
	both, err := play(t, combined.String())
	if err != nil {
		t.Fatal(err)
	}
	alone, err := play(t, single.String())
	if err != nil {
		t.Fatal(err)
	}
	pick := func(output string) (kept []string) {
		for line := range strings.Lines(output) {
			if strings.Contains(line, "\ti=0\t") {
				kept = append(kept, line)
			}
		}
		return kept
	}
	a, b := pick(both), pick(alone)
	if len(a) < 50 || strings.Join(a, "") != strings.Join(b, "") {
		t.Fatalf("instance 0 acts differently when another instance runs in the process: %d and %d actions", len(a), len(b))
	}
}

func TestPanicBecomesFault(t *testing.T) {
	events["BOOM"] = func(*simulatorHost, int) (func(*policy.Gateway), error) {
		return func(*policy.Gateway) { panic("broken\tmodule") }, nil
	}
	defer delete(events, "BOOM")
	out, err := play(t, startBatch(0)+"CLOCK\ttimeS=11\nBOOM\ti=0\nYOUR_TURN\n")
	if err != nil || !strings.Contains(out, "FAULT\ti=0\tmsg=broken module\nNEXT\n") {
		t.Fatalf("want a FAULT with the text, got %v\n%s", err, out)
	}
}
