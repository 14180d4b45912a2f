package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
)

// Ports from which free addresses are chosen. Systems use ports below firstPort for services; the system's own choice for
// ports that programs leave open starts at defaultEphemeralPort unless it is configured otherwise.
const (
	firstPort            = 10_000
	defaultEphemeralPort = 32_768
	addressAttempts      = 200
)

// FreeTCPAddr returns a loopback address for a process that is to listen on it later, and again after restarts. The system
// does not give its port to anything else meanwhile, as it lies outside the range from which the system chooses ports.
func FreeTCPAddr() (string, error) {
	return freeAddr(func(addr string) error {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// FreeUDPAddr is FreeTCPAddr for datagrams.
func FreeUDPAddr() (string, error) {
	return freeAddr(func(addr string) error {
		conn, err := net.ListenPacket("udp", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// freeAddr returns a random loopback address outside the ephemeral ports on which listening succeeds.
func freeAddr(listen func(addr string) error) (addr string, err error) {
	end := ephemeralPort()
	if end <= firstPort {
		return "", fmt.Errorf("the system chooses ports from %d on, want it to leave some above %d", end, firstPort)
	}
	for range addressAttempts {
		addr = fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(end-firstPort))
		if err = listen(addr); err == nil {
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free address: %w", err)
}

// ephemeralPort returns the first port that the system may choose by itself.
func ephemeralPort() int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	port := 0
	if err == nil {
		_, err = fmt.Fscan(strings.NewReader(string(text)), &port)
	}
	if err != nil || port <= 0 {
		return defaultEphemeralPort
	}
	return port
}
