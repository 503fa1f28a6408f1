package fake

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports below the range from which the system takes the ports of outgoing
// connections.
const (
	firstPort = 10000
	lastPort  = 30000
	// portStride separates the ports of processes that run at the same time.
	portStride = 97
)

// triedPorts counts the ports that this process has looked at.
var triedPorts atomic.Uint32

var errNoPort = errors.New("no loopback port is free")

// FreeAddress returns a loopback address on which nothing listens and which no
// outgoing connection will take.
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
