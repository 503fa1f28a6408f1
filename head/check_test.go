package head

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry/fake"
)

// checkAll checks interim heads and the head after them, in pieces of the given size. It
// returns the length of the heads.
func checkAll(response []byte, size int) (length int, err error) {
	var checker Checker
	checker.Begin()
	for length < len(response) {
		var n int
		n, err = checker.Check(response[length:min(length+size, len(response))])
		length += n
		if err != nil || checker.IsDone() && checker.Status() >= http.StatusOK {
			return length, err
		}
		if checker.IsDone() {
			checker.Begin()
		}
	}
	return length, errors.New("the head has no end")
}

// Each response of the table is valid or not, whatever the pieces in which it is read.
func TestHeadsOfTable(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 2, 7, 1 << 20} {
		for _, valid := range fake.ValidHeads() {
			encoded := valid.Encode("X-Id: 1")
			length, err := checkAll(encoded, size)
			if err != nil || string(encoded[length:]) != valid.Body {
				t.Errorf("%s in pieces of %d: %v, followed by %q", valid.Name, size, err, encoded[length:])
			}
		}
		for _, invalid := range fake.InvalidHeads() {
			_, err := checkAll(invalid.Encode("X-Id: 1"), size)
			var headErr *Error
			if !errors.As(err, &headErr) {
				t.Errorf("%s in pieces of %d: %v", invalid.Name, size, err)
			}
		}
	}
}

// The error names the fault and the line, and nothing of what was sent.
func TestErrorNamesFault(t *testing.T) {
	t.Parallel()
	const status = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		head  string
		fault Fault
		line  int
	}{
		{"HTTP/2.0 200 SECRET\r\n", FaultVersion, 1},
		{"HTTP/1.1 000 SECRET\r\n", FaultStatus, 1},
		{"HTTP/1.1 101 SECRET\r\n", FaultUpgrade, 1},
		{status + "A: b\r\nSECRET : x\r\n", FaultName, 3},
		{status + " SECRET: x\r\n", FaultName, 2},
		{status + "A: SECRET\x00\r\n", FaultValue, 2},
		{status + "A: b\r\n SECRET\x00\r\n", FaultValue, 3},
		{status + "Content-Length: 1\r\nContent-Length: 2\r\n", FaultFraming, 3},
		{status + "Content-Length: 1\r\n 2\r\n", FaultFraming, 3},
		{status + "A: b\r\nC: d\r\nE: f\r\nSECRET: x\r\n", FaultLines, 5},
	} {
		is := is.New(t)
		checker := Checker{MaxLines: 4}
		checker.Begin()
		_, err := checker.Check([]byte(c.head))
		var headErr *Error
		is.True(errors.As(err, &headErr))
		is.Equal(*headErr, Error{Fault: c.fault, Line: c.line})
		is.True(!strings.Contains(headErr.Error(), "SECRET"))
		is.True(strings.Contains(headErr.Error(), c.fault.String()))
	}
}

// compare checks that a response is judged as by a naive reader, and that package http reads
// what is valid in the same way. It reports whether the response is valid.
func compare(t *testing.T, response []byte, size int) bool {
	t.Helper()
	strict := fake.ReadStrictly(response)
	_, err := checkAll(response, size)
	if (strict.Status > 0) != (err == nil) {
		t.Fatalf("%q: naive %+v, checked: %v", response, strict, err)
	}
	if err != nil {
		return false
	}
	reader := bufio.NewReader(bytes.NewReader(response))
	got := &http.Response{}
	for got.StatusCode < http.StatusOK {
		if got, err = http.ReadResponse(reader, nil); err != nil {
			t.Fatalf("%q: package http: %v", response, err)
		}
	}
	body, err := io.ReadAll(got.Body)
	isWhole := err == nil
	if len(got.TransferEncoding) > 0 && !isWhole {
		// The naive reader doesn't read trailers.
		return true
	}
	if got.StatusCode != strict.Status || isWhole != strict.IsWhole || isWhole && !bytes.Equal(body, strict.Body) {
		t.Fatalf("%q: package http reads %d with %q, %v, naive %+v", response, got.StatusCode, body, err, strict)
	}
	return true
}

// Heads with random mutations are judged as by a naive reader, and package http reads what is
// valid in the same way.
func TestMutatedHeadsAreJudgedAsByNaiveReader(t *testing.T) {
	t.Parallel()
	const seeds, mutations = 20, 3000
	valid := 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		for range mutations {
			if compare(t, fake.MutateHead(random), 1+random.IntN(64)) {
				valid++
			}
		}
	}
	// Neither judgement goes without cases.
	if valid < seeds*mutations/10 || valid > seeds*mutations*9/10 {
		t.Errorf("%d of %d heads are valid", valid, seeds*mutations)
	}
}

// FuzzHead compares the judgements of whatever bytes.
func FuzzHead(f *testing.F) {
	for _, seed := range append(fake.ValidHeads(), fake.InvalidHeads()...) {
		f.Add(seed.Encode(), 7)
	}
	f.Fuzz(func(t *testing.T, response []byte, size int) {
		if len(response) < 1<<12 {
			compare(t, response, 1+max(0, size%64))
		}
	})
}
