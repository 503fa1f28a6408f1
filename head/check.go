package head

import (
	"bytes"
	"net/http"
)

const (
	// statusStart and statusEnd are the positions of the status in its line, in bytes.
	statusStart = len("HTTP/1.1 ")
	statusEnd   = len("HTTP/1.1 200")
	// maxStatus is the largest status, following RFC 9110 section 15.
	maxStatus = 599
	// maxLengthDigits bounds the digits of a length, which is an int64.
	maxLengthDigits = 18
)

// Checker checks one head after another. The zero Checker is ready to check one that may have
// any number of lines. It must not be copied while a head is checked.
type Checker struct {
	// MaxLines bounds the lines of one head without the empty one. Zero means no bound.
	MaxLines int

	// partial is the beginning of a line whose end has not been read.
	partial []byte
	lines   int
	status  int
	isDone  bool
	// isChunkable reports that the version of the response has the chunked coding.
	isChunkable bool
	// length holds the digits of the first Content-Length, digits their number, or zero.
	length [maxLengthDigits]byte
	digits int
	// isChunked reports that the body has the chunked coding.
	isChunked bool
	// isFramed reports that the last field states the end of the body.
	isFramed bool
}

// Begin expects the beginning of another head.
func (c *Checker) Begin() {
	*c = Checker{MaxLines: c.MaxLines}
}

// IsDone reports whether the whole head was checked.
func (c *Checker) IsDone() bool { return c.isDone }

// Status returns the status of the response, or zero before its line was checked.
func (c *Checker) Status() int { return c.status }

// Check checks the next bytes of the head. It returns how many of them belong to valid lines
// of the head, and an Error if the next line is not valid. Bytes after the head are not checked.
func (c *Checker) Check(p []byte) (n int, err error) {
	for n < len(p) && !c.isDone {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			c.partial = append(c.partial, p[n:]...)
			return len(p), nil
		}
		line := p[n : n+end]
		if len(c.partial) > 0 {
			c.partial = append(c.partial, line...)
			line = c.partial
		}
		if err = c.checkLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return n, err
		}
		c.partial = c.partial[:0]
		n += end + 1
	}
	if c.isDone {
		c.partial = nil
	}
	return n, nil
}

// checkLine checks a line without its end.
func (c *Checker) checkLine(line []byte) error {
	if c.lines > 0 && len(line) == 0 {
		c.isDone = true
		return nil
	}
	c.lines++
	if fault := c.faultOf(line); fault != FaultNone {
		return &Error{Fault: fault, Line: c.lines}
	}
	return nil
}

// faultOf returns the fault of a line that isn't empty, or of an empty first one.
func (c *Checker) faultOf(line []byte) Fault {
	switch {
	case c.MaxLines > 0 && c.lines > c.MaxLines:
		return FaultLines
	case c.lines == 1:
		return c.checkStatusLine(line)
	case isBlank(line[0]):
		return c.checkFold(line)
	default:
		return c.checkField(line)
	}
}

// checkStatusLine checks the first line, following RFC 9112 section 4.
func (c *Checker) checkStatusLine(line []byte) Fault {
	const minor = len("HTTP/1.")
	if len(line) < statusStart || string(line[:minor]) != "HTTP/1." || !isDigit(line[minor]) || line[minor+1] != ' ' {
		return FaultVersion
	}
	c.isChunkable = line[minor] != '0'
	if len(line) < statusEnd || !isNumber(line[statusStart:statusEnd]) {
		return FaultStatus
	}
	for _, digit := range line[statusStart:statusEnd] {
		c.status = 10*c.status + int(digit-'0')
	}
	reason := line[statusEnd:]
	switch {
	case len(reason) > 0 && reason[0] != ' ', !isText(reason), c.status < http.StatusContinue, c.status > maxStatus:
		return FaultStatus
	case c.status == http.StatusSwitchingProtocols:
		return FaultUpgrade
	}
	return FaultNone
}

// checkFold checks a line that continues the field before it, following RFC 9112 section 5.2.
func (c *Checker) checkFold(line []byte) Fault {
	switch {
	case c.lines == 2:
		return FaultName
	case c.isFramed:
		return FaultFraming
	case !isText(line):
		return FaultValue
	}
	return FaultNone
}

// checkField checks a field line, following RFC 9112 section 5.1 and RFC 9110 section 5.5.
func (c *Checker) checkField(line []byte) Fault {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case !found || !isToken(name):
		return FaultName
	case !isText(value):
		return FaultValue
	case !c.checkFraming(name, bytes.Trim(value, " \t")):
		return FaultFraming
	}
	return FaultNone
}

// checkFraming reports whether a field leaves one way to find the end of the body, following
// RFC 9112 sections 6.1 and 6.3. An interim response has no body.
func (c *Checker) checkFraming(name, value []byte) bool {
	isLength, isCoding := isName(name, "Content-Length"), isName(name, "Transfer-Encoding")
	c.isFramed = isLength || isCoding
	isInterim := c.status < http.StatusOK
	switch {
	case isCoding:
		isFirst := c.digits == 0 && !c.isChunked
		c.isChunked = true
		return isFirst && c.isChunkable && !isInterim && isName(value, "chunked")
	case isLength && c.digits > 0:
		return bytes.Equal(c.length[:c.digits], value)
	case isLength:
		c.digits = copy(c.length[:], value)
		isEmpty := len(bytes.Trim(value, "0")) == 0
		return isNumber(value) && len(value) <= maxLengthDigits && !c.isChunked && (isEmpty || !isInterim)
	}
	return true
}

// isNumber reports whether a text consists of digits.
func isNumber(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	return len(text) > 0
}

// isName reports whether two names are equal but for their case.
func isName(name []byte, wanted string) bool {
	return len(name) == len(wanted) && bytes.EqualFold(name, []byte(wanted))
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// isText reports whether bytes hold no control byte but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether bytes are a token, following RFC 9110 section 5.6.2.
func isToken(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes holds the bytes of a token.
var tokenBytes = func() (isTokenByte [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789" + letters) {
		isTokenByte[b] = true
	}
	return isTokenByte
}()
