package fake

import (
	"fmt"
	"strings"
)

// HeadBody is the body of the responses of ValidHeads and InvalidHeads.
const HeadBody = "the whole body of the response"

// chunkedHeadBody is HeadBody in the chunked transfer coding.
const chunkedHeadBody = "1e\r\n" + HeadBody + "\r\n0\r\n\r\n"

// headLength states the length of HeadBody.
const headLength = "Content-Length: 30"

// Head is a response as the bytes that a target, a store or a VM sends.
type Head struct {
	Name string
	// Before is sent before the response: interim responses, or what looks like one.
	Before string
	// Status is the status line without its end.
	Status string
	// Lines are the field lines without their ends. They end with those of the framing.
	Lines []string
	// Body is what follows the head.
	Body string
}

// Encode returns the bytes of the response. lines are further field lines, which its reader
// expects.
func (h Head) Encode(lines ...string) []byte {
	var encoded strings.Builder
	encoded.WriteString(h.Before)
	encoded.WriteString(h.Status + "\r\n")
	for _, line := range h.Lines {
		encoded.WriteString(line + "\r\n")
	}
	for _, line := range lines {
		encoded.WriteString(line + "\r\n")
	}
	encoded.WriteString("\r\n" + h.Body)
	return []byte(encoded.String())
}

// statusOK is the status line of most responses.
const statusOK = "HTTP/1.1 200 OK"

// ValidHeads returns responses with the body HeadBody whose heads are valid, though some are
// unusual.
func ValidHeads() []Head {
	return []Head{
		{Name: "length", Status: statusOK, Lines: []string{headLength}, Body: HeadBody},
		{Name: "chunks", Status: statusOK, Lines: []string{"Transfer-Encoding: chunked"}, Body: chunkedHeadBody},
		{Name: "no length", Status: statusOK, Body: HeadBody},
		{Name: "HTTP/1.0", Status: "HTTP/1.0 200 OK", Lines: []string{headLength}, Body: HeadBody},
		{Name: "no reason", Status: "HTTP/1.1 200", Lines: []string{headLength}, Body: HeadBody},
		{Name: "empty reason", Status: "HTTP/1.1 200 ", Lines: []string{headLength}, Body: HeadBody},
		{Name: "reason of other letters", Status: "HTTP/1.1 200 \xe4\xbd\xa0", Lines: []string{headLength}, Body: HeadBody},
		{Name: "status without a name", Status: "HTTP/1.1 299 Fine", Lines: []string{headLength}, Body: HeadBody},
		{Name: "every sign of a name", Status: statusOK, Lines: []string{"!#$%&'*+-.^_`|~09azAZ: v", headLength}, Body: HeadBody},
		{Name: "value of other letters", Status: statusOK, Lines: []string{"X-Y: \xe4 \t\xff", headLength}, Body: HeadBody},
		{Name: "empty value", Status: statusOK, Lines: []string{"X-Y:", headLength}, Body: HeadBody},
		{Name: "folded field", Status: statusOK, Lines: []string{"X-Y: a,", "\tb", headLength}, Body: HeadBody},
		{Name: "length with blanks", Status: statusOK, Lines: []string{"content-length:\t30 \t"}, Body: HeadBody},
		{Name: "chunks in capitals", Status: statusOK, Lines: []string{"TRANSFER-ENCODING:CHUNKED"}, Body: chunkedHeadBody},
		{Name: "length stated twice", Status: statusOK, Lines: []string{headLength, headLength}, Body: HeadBody},
		{Name: "interim first", Before: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", Status: statusOK, Lines: []string{headLength}, Body: HeadBody},
		{Name: "two interim first", Before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", Status: statusOK, Lines: []string{headLength}, Body: HeadBody},
		{Name: "interim of length 0", Before: "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", Status: statusOK, Lines: []string{headLength}, Body: HeadBody},
	}
}

// InvalidHeads returns responses that are none.
func InvalidHeads() []Head {
	var heads []Head
	for _, group := range [][]Head{invalidStatuses(), invalidNames(), invalidValues(), invalidFramings(), invalidInterims()} {
		heads = append(heads, group...)
	}
	return heads
}

// invalidStatuses returns responses whose status line is none.
func invalidStatuses() []Head {
	var heads []Head
	for _, status := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1200 OK", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/11 200 OK",
		"http/1.1 200 OK", "XTTP/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x00", "",
	} {
		heads = append(heads, Head{Name: fmt.Sprintf("status line %q", status), Status: status, Lines: []string{headLength}, Body: HeadBody})
	}
	// A target in trouble may end its response here, and keep the connection.
	return append(heads, Head{Name: "status 000 without a body", Status: "HTTP/1.1 000 "})
}

// invalidNames returns responses with the name of a field that is none.
func invalidNames() []Head {
	var heads []Head
	for _, line := range []string{
		"X Y: v", "X-Y : v", "X-Y\t: v", ": v", "no colon", " X-Y: v", "X(Y): v", "X\x80Y: v",
		"X\x00Y: v", "X\x01Y: v", "X\x1fY: v", "X\x7fY: v", "X\rY: v", "\rX: v",
	} {
		heads = append(heads, Head{Name: fmt.Sprintf("line %q", line), Status: statusOK, Lines: []string{line, headLength}, Body: HeadBody})
	}
	return append(heads,
		Head{Name: "blank after Transfer-Encoding", Status: statusOK, Lines: []string{"Transfer-Encoding : chunked"}, Body: chunkedHeadBody},
		Head{Name: "tab after Transfer-Encoding", Status: statusOK, Lines: []string{"Transfer-Encoding\t: chunked"}, Body: chunkedHeadBody},
		Head{Name: "blank in Transfer-Encoding", Status: statusOK, Lines: []string{"Transfer Encoding: chunked"}, Body: chunkedHeadBody},
		Head{Name: "blank after Content-Length", Status: statusOK, Lines: []string{"Content-Length : 30"}, Body: HeadBody[:3]},
		Head{Name: "blank after the name, not a success", Status: "HTTP/1.1 404 Not Found", Lines: []string{"X-Y : v", headLength}, Body: HeadBody},
	)
}

// invalidValues returns responses with the value of a field that is none.
func invalidValues() []Head {
	var heads []Head
	for _, line := range []string{"X-Y: a\x00b", "X-Y: a\x01b", "X-Y: a\rb", "X-Y: a\x7fb", "X-Y: a\r", "X-Y: a\r\n \x01"} {
		heads = append(heads, Head{Name: fmt.Sprintf("line %q", line), Status: statusOK, Lines: []string{line, headLength}, Body: HeadBody})
	}
	return heads
}

// invalidFramings returns responses that state the end of their body in two ways, or in one
// that readers understand differently.
func invalidFramings() []Head {
	const chunked = "Transfer-Encoding: chunked"
	var heads []Head
	for _, lines := range [][]string{
		{headLength, "Content-Length: 3"},
		{"Content-Length: 3", headLength},
		{"Content-Length: 30, 3"},
		{"Content-Length: 3", " 0"},
		{"Content-Length:", " 30"},
		{"Content-Length: +30"},
		{"Content-Length: -1"},
		{"Content-Length: 0x1e"},
		{"Content-Length: 3 0"},
		{"Content-Length:"},
		{"Content-Length: 99999999999999999999"},
	} {
		heads = append(heads, Head{Name: strings.Join(lines, "|"), Status: statusOK, Lines: lines, Body: HeadBody})
	}
	for _, lines := range [][]string{
		{headLength, chunked},
		{chunked, headLength},
		{chunked, "Content-Length: 45"},
		{chunked, chunked},
		{"Transfer-Encoding: gzip, chunked"},
		{"Transfer-Encoding: chunked, chunked"},
		{"Transfer-Encoding: identity"},
		{"Transfer-Encoding: xchunked"},
		{"Transfer-Encoding:"},
		{"Transfer-Encoding:", " chunked"},
		{chunked, " "},
	} {
		heads = append(heads, Head{Name: strings.Join(lines, "|"), Status: statusOK, Lines: lines, Body: chunkedHeadBody})
	}
	return append(heads, Head{Name: "HTTP/1.0 with chunks", Status: "HTTP/1.0 200 OK", Lines: []string{chunked}, Body: chunkedHeadBody})
}

// invalidInterims returns responses that follow what is no interim response.
func invalidInterims() []Head {
	var heads []Head
	for _, before := range []string{
		// The response that follows may be the body of what comes before.
		"HTTP/1.1 000 \r\nContent-Length: 66\r\n\r\n",
		"HTTP/1.1 099 No\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 66\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX-Y : v\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX\x01Y: v\r\n\r\n",
		"\r\n",
		"\n\n",
	} {
		heads = append(heads, Head{Name: fmt.Sprintf("before %q", before), Before: before, Status: statusOK, Lines: []string{headLength}, Body: HeadBody})
	}
	return heads
}
