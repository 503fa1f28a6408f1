package proxy

import (
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
)

// hopByHop lists the header fields that concern one connection only, after
// RFC 9110 section 7.6.1.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop deletes the fields of one connection, including those that
// the Connection field names.
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

// setForwarded replaces the fields that tell the target about the caller. No
// balancer stands in front, so what the caller sent in them is not trusted.
func setForwarded(header http.Header, remote, host string, secure bool) {
	for _, name := range []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip"} {
		header.Del(name)
	}
	if address, err := netip.ParseAddrPort(remote); err == nil {
		header.Set("X-Forwarded-For", address.Addr().String())
	}
	header.Set("X-Forwarded-Host", host)
	proto := "http"
	if secure {
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
