package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"cometpond/internal/faults"
	"cometpond/internal/resp"
	"cometpond/internal/standin"
)

func TestMain(m *testing.M) {
	faults.Trap()
	if os.Getenv("EDGE_CHILD") != "" {
		if err := child(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// platform is backends and discovery on loopback.
type platform struct {
	roster   *standin.PlatformDiscovery
	backends []*standin.PlatformBackend
	hosts    []standin.PlatformHost
}

func newPlatform(t testing.TB, n int, answer func(c net.Conn, s standin.ReceivedCommand)) *platform {
	t.Helper()
	p := &platform{}
	for i := range n {
		b, err := standin.NewPlatformBackend(answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		p.backends = append(p.backends, b)
		p.hosts = append(p.hosts, standin.PlatformHost{Host: fmt.Sprint("s-", i), Dial: b.Addr(), Site: "room-a", Health: "SERVING", Share: 1})
	}
	var err error
	if p.roster, err = standin.NewPlatformDiscovery(p.hosts...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.roster.Close)
	return p
}

// freeAddr is an address of loopback that was free a moment ago.
func freeAddr(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// request is a client's command.
func request(id, class, plan string, withinMS int) []byte {
	name, key := "SVC.QUERY", ""
	if class != "status" {
		name = "SVC.SUBMIT"
	}
	if class == "order" {
		key = ",k=5c0f6e1a2b3d4c59"
	}
	return resp.AppendCommand(nil, name, "00000000b4d65521", id,
		fmt.Sprintf("c=%s,t=%s,d=%d%s,units=1,spread=1,first=0", class, plan, withinMS, key))
}

// readAnswer reads one answer: a bulk string's text, or a line.
func readAnswer(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return line, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if n, err := strconv.Atoi(strings.TrimPrefix(line, "$")); strings.HasPrefix(line, "$") && err == nil && n >= 0 {
		text := make([]byte, n+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return "", err
		}
		return string(text[:n]), nil
	}
	return line, nil
}
