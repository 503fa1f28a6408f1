package proxy

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that are valid for one connection only,
// following RFC 9110 section 7.6.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the hop-by-hop fields, including those that the
// Connection field names.
func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// setForwarded replaces the fields that describe the caller to the target.
// Received values are not trusted, as no load balancer stands before the VM.
func setForwarded(header http.Header, remote, host string, isTLS bool) {
	for _, name := range []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip"} {
		header.Del(name)
	}
	if address, err := netip.ParseAddrPort(remote); err == nil {
		header.Set("X-Forwarded-For", address.Addr().String())
	}
	header.Set("X-Forwarded-Host", host)
	proto := "http"
	if isTLS {
		proto = "https"
	}
	header.Set("X-Forwarded-Proto", proto)
}

// copyHeader adds every field of source to destination.
func copyHeader(destination, source http.Header) {
	for name, values := range source {
		for _, value := range values {
			destination.Add(name, value)
		}
	}
}

// isUpgrade reports whether the request asks to change the protocol.
func isUpgrade(request *http.Request) bool {
	return request.Method == http.MethodConnect || request.Header.Get("Upgrade") != ""
}
