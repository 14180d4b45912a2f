package standin

import (
	"net"
	"testing"
)

// Guards against addresses whose port the system gives to another connection before the process listens on it.
func TestFreeAddressesAreOutsideTheEphemeralPorts(t *testing.T) {
	for _, free := range []func() (string, error){FreeTCPAddr, FreeUDPAddr} {
		for range 50 {
			addr, err := free()
			if err != nil {
				t.Fatal(err)
			}
			parsed, err := net.ResolveTCPAddr("tcp", addr)
			if err != nil || parsed.Port < firstPort || parsed.Port >= ephemeralPort() || !parsed.IP.IsLoopback() {
				t.Errorf("%s, %v: want a loopback port from %d to %d", addr, err, firstPort, ephemeralPort()-1)
			}
		}
	}
}
