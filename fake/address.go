package fake

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// The ports lie below the range from which the system assigns ports to outgoing
// connections.
const (
	firstPort = 10000
	lastPort  = 30000
	// portStride separates the ports of processes that run concurrently.
	portStride = 97
)

// triedPorts counts the ports that this process has tried.
var triedPorts atomic.Uint32

var errNoPort = errors.New("no loopback port is free")

// FreeAddress returns a loopback address that has no listener and that the
// system doesn't assign to outgoing connections.
func FreeAddress() (netip.AddrPort, error) {
	const portCount = lastPort - firstPort
	for range portCount {
		offset := uint32(os.Getpid()*portStride) + triedPorts.Add(1)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+offset%portCount))
		var listener *net.TCPListener
		var err error
		if listener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address)); err != nil {
			continue
		}
		return address, listener.Close()
	}
	return netip.AddrPort{}, errNoPort
}
