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
		if err := runChild(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// platform is a set of servers and a discovery server on loopback.
type platform struct {
	discovery *standin.PlatformDiscovery
	servers   []*standin.PlatformBackend
	hosts     []standin.PlatformHost
}

func newPlatform(t testing.TB, n int, answer func(c net.Conn, s standin.ReceivedCommand)) *platform {
	t.Helper()
	platform := &platform{}
	for i := range n {
		server, err := standin.NewPlatformBackend(answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		platform.servers = append(platform.servers, server)
		platform.hosts = append(platform.hosts, standin.PlatformHost{Host: fmt.Sprint("s-", i), Dial: server.Addr(),
			Site: "room-a", Health: "SERVING", Share: 1})
	}
	var err error
	if platform.discovery, err = standin.NewPlatformDiscovery(platform.hosts...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.discovery.Close)
	return platform
}

// freeAddr returns a loopback address that an ingress can listen on.
func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := standin.FreeTCPAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// request returns a client's command, of the customer that all tests use.
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

// readAnswer reads one answer and returns the text of a bulk string, or the line of another type.
func readAnswer(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return line, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if n, err := strconv.Atoi(strings.TrimPrefix(line, "$")); strings.HasPrefix(line, "$") && err == nil && n >= 0 {
		text := make([]byte, n+2)
		if _, err := io.ReadFull(reader, text); err != nil {
			return "", err
		}
		return string(text[:n]), nil
	}
	return line, nil
}
