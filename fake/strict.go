package fake

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http/httputil"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// StrictResponse is what StrictReader has read.
type StrictResponse struct {
	// Status is the status, or zero if the response is invalid.
	Status int
	Body   []byte
	// IsWhole reports that the body was read to its end.
	IsWhole bool
}

// The lines of a head, whose bytes are runes.
var (
	strictStatus = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])( [\t -~\x{80}-\x{ff}]*)?$`)
	strictField  = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\\t -~\\x{80}-\\x{ff}]*)$")
	strictFold   = regexp.MustCompile(`^[ \t][\t -~\x{80}-\x{ff}]*$`)
	strictLength = regexp.MustCompile(`^[0-9]{1,18}$`)
)

// ReadStrictly reads a response that ends with its connection, and the interim ones before
// it. It is a naive version of package head, for comparison: it has all bytes before it looks
// at them.
func ReadStrictly(response []byte) StrictResponse {
	for {
		head, rest, found := cutHead(response)
		status, framing, isValid := readHead(head)
		switch {
		case !found || !isValid:
			return StrictResponse{}
		case status >= 200:
			return framing.read(status, rest)
		}
		response = rest
	}
}

// cutHead returns the lines before the first empty one, and what follows it.
func cutHead(response []byte) (head []string, rest []byte, found bool) {
	for {
		line, after, isLine := bytes.Cut(response, []byte{'\n'})
		if !isLine {
			return nil, nil, false
		}
		response = after
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 && len(head) > 0 {
			return head, response, true
		}
		head = append(head, runes(line))
	}
}

// runes returns a string with a rune for each byte.
func runes(text []byte) string {
	var converted strings.Builder
	for _, b := range text {
		converted.WriteRune(rune(b))
	}
	return converted.String()
}

// strictFraming is what a head states about the end of the body.
type strictFraming struct {
	lengths []string
	codings int
}

// readHead reads the lines of a head.
func readHead(head []string) (status int, framing strictFraming, isValid bool) {
	if len(head) == 0 {
		return 0, framing, false
	}
	line := strictStatus.FindStringSubmatch(head[0])
	if line == nil || line[2] == "101" {
		return 0, framing, false
	}
	status, _ = strconv.Atoi(line[2])
	last := ""
	for _, text := range head[1:] {
		isFoldable := last != "" && last != "content-length" && last != "transfer-encoding"
		if isFoldable && strictFold.MatchString(text) {
			continue
		}
		field := strictField.FindStringSubmatch(text)
		if field == nil {
			return 0, framing, false
		}
		last = strings.ToLower(field[1])
		value := strings.Trim(field[2], " \t")
		switch {
		case last == "transfer-encoding" && (strings.ToLower(value) != "chunked" || line[1] == "0" || status < 200):
			return 0, framing, false
		case last == "transfer-encoding":
			framing.codings++
		case last == "content-length" && (!strictLength.MatchString(value) || status < 200 && strings.Trim(value, "0") != ""):
			return 0, framing, false
		case last == "content-length":
			framing.lengths = append(framing.lengths, value)
		}
	}
	slices.Sort(framing.lengths)
	kinds := len(slices.Compact(framing.lengths)) + framing.codings
	return status, framing, kinds <= 1
}

// read reads the body of a response to a request that isn't HEAD.
func (f strictFraming) read(status int, rest []byte) StrictResponse {
	switch {
	case status == 204 || status == 304:
		return StrictResponse{Status: status, IsWhole: true}
	case f.codings > 0:
		body, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(rest)))
		return StrictResponse{Status: status, Body: body, IsWhole: err == nil}
	case len(f.lengths) > 0:
		length, _ := strconv.Atoi(f.lengths[0])
		size := min(length, len(rest))
		return StrictResponse{Status: status, Body: rest[:size], IsWhole: size == length}
	}
	return StrictResponse{Status: status, Body: rest, IsWhole: true}
}

// mutationBytes are inserted into mutated heads.
const mutationBytes = "\r\n\t :+09aZ\x00\x01\x7f\x80\xff"

// maxMutations bounds the mutations of one head.
const maxMutations = 3

// MutateHead returns a response of the tables with up to three random mutations of its head,
// and further field lines.
func MutateHead(random *rand.Rand, lines ...string) []byte {
	heads := append(ValidHeads(), InvalidHeads()...)
	if random.IntN(3) > 0 {
		// Mutations of what is valid are the ones that may be.
		heads = ValidHeads()
	}
	chosen := heads[random.IntN(len(heads))]
	body := chosen.Body
	chosen.Body = ""
	head := chosen.Encode(lines...)
	for range random.IntN(maxMutations + 1) {
		head = mutate(random, head)
	}
	return append(head, body...)
}

// mutate changes one thing.
func mutate(random *rand.Rand, head []byte) []byte {
	at := random.IntN(len(head))
	inserted := mutationBytes[random.IntN(len(mutationBytes))]
	switch random.IntN(5) {
	case 0:
		return slices.Insert(slices.Clone(head), at, inserted)
	case 1:
		return slices.Delete(slices.Clone(head), at, at+1)
	case 2:
		changed := slices.Clone(head)
		changed[at] = inserted
		return changed
	default:
		// A line once more, or without its place.
		split := bytes.SplitAfter(head, []byte{'\n'})
		line := split[random.IntN(len(split))]
		split = slices.Insert(split, random.IntN(len(split)), line)
		return bytes.Join(split, nil)
	}
}
