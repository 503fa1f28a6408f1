package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/fake"
)

// framing is how a response states the end of its body.
type framing int

const (
	framedByClose framing = iota
	framedByLength
	framedByChunks
	framings
)

// String implements fmt.Stringer.
func (f framing) String() string { return [...]string{"no length", "length", "chunks"}[f] }

// encode returns a signed success with the body.
func (f framing) encode(id string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n", testID, id, testSigned)
	switch f {
	case framedByLength:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case framedByChunks:
		half := len(body) / 2
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			head, half, body[:half], len(body)-half, body[half:])
	default:
		return fmt.Appendf([]byte(head), "\r\n%s", body)
	}
}

// earlyResponse is an upload to a target that responds before it has read it.
type earlyResponse struct {
	framing framing
	ending  fake.Ending
	// upload and response are the sizes of the bodies, cut what is left out at the end of
	// the encoded response, in bytes.
	upload, response, cut int
	// isKept reports that the target's connection has carried another request, isHTTP10 that
	// the caller speaks HTTP/1.0.
	isKept, isHTTP10 bool
}

// call sends the upload.
func (e earlyResponse) call(t *testing.T) callResult {
	t.Helper()
	early := fake.EarlyTarget{Ending: e.ending, Respond: func(request *http.Request) []byte {
		encoded := e.framing.encode(request.Header.Get(testID), numberedBody(e.response))
		return encoded[:len(encoded)-e.cut]
	}}
	if e.isKept {
		early.RespondFirst = func(request *http.Request) []byte { return framedByLength.encode(request.Header.Get(testID), nil) }
	}
	listener, err := early.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	target := startTarget(t, "a", respondOK)
	target.target.Address = listener.Addr().(*net.TCPAddr).AddrPort()
	h := newLoggedHarness(t, slog.NewTextHandler(t.Output(), nil), target)
	if e.isKept {
		if first := h.call(t.Context(), http.MethodGet, "/safe/x", ""); !first.isWhole() {
			t.Fatalf("the first response is %+v", first)
		}
		h.eventually(t, func() bool { return h.pool.Idle() == 1 })
	}
	caller := h.startUploadAs(t, map[bool]string{false: "HTTP/1.1", true: "HTTP/1.0"}[e.isHTTP10], e.upload, false)
	defer func() { _ = caller.Close() }()
	// A response that closes the connection outruns the body of its caller.
	caller.pause = earlyPause
	go func() { _ = caller.send(numberedBody(e.upload)) }()
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		return callResult{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(text), bodyErr: err}
}

// isWhole reports whether a caller takes what it got for a whole success.
func (r callResult) isWhole() bool {
	return r.err == nil && r.bodyErr == nil && r.status == http.StatusOK
}

const (
	// bufferedUpload is buffered before it is sent, streamedUpload isn't.
	bufferedUpload = 300_000
	streamedUpload = 2 << 20
	// bufferedAnswer is buffered before the caller gets the first byte, streamedAnswer isn't.
	bufferedAnswer = 4000
	streamedAnswer = maxBufferedResponse + 100_000
)

// A response without a length that is reset on the way while the upload is written is
// not taken for a whole one: the write takes the error of the socket, and the reads that
// follow see a plain end of file.
func TestResetResponseWithoutLengthIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, upload := range []int{bufferedUpload, streamedUpload} {
		for _, response := range []int{bufferedAnswer, streamedAnswer} {
			for _, ending := range []fake.Ending{fake.EndingReset, fake.EndingUnread} {
				t.Run(fmt.Sprint(upload, " ", response, " ", ending), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					for range 10 {
						got := earlyResponse{framing: framedByClose, ending: ending, upload: upload, response: response, cut: response / 2}.call(t)
						if got.isWhole() {
							t.Fatalf("the caller got %d of %d bytes as a whole response", len(got.body), response)
						}
						if got.err == nil && got.bodyErr == nil {
							is.Equal(got.status, http.StatusBadGateway)
							is.Equal(got.header.Get("X-Outcome"), ferry.OutcomeUnknown.String())
						}
					}
				})
			}
		}
	}
}

// The same holds where the target's connection has carried another request, and for callers
// of HTTP/1.0, for which the end of the connection could be that of the response.
func TestResetResponseWithoutLengthIsNotWholeInOtherForms(t *testing.T) {
	t.Parallel()
	for _, upload := range []int{bufferedUpload, streamedUpload} {
		for _, response := range []int{bufferedAnswer, streamedAnswer} {
			for _, ending := range []fake.Ending{fake.EndingReset, fake.EndingUnread} {
				for _, form := range []earlyResponse{{isKept: true}, {isHTTP10: true}, {isKept: true, isHTTP10: true}} {
					e := form
					e.framing, e.ending, e.upload, e.response, e.cut = framedByClose, ending, upload, response, response/2
					t.Run(fmt.Sprint(upload, " ", response, " ", ending, " kept ", e.isKept, " HTTP/1.0 ", e.isHTTP10), func(t *testing.T) {
						t.Parallel()
						for range 5 {
							if got := e.call(t); got.isWhole() {
								t.Fatalf("the caller got %d of %d bytes as a whole response", len(got.body), response)
							}
						}
					})
				}
			}
		}
	}
}

// A response whose end is proved by its length, its chunks or the end of the target's
// stream is delivered whole, although the target then resets the rest of the upload.
func TestEarlyResponseWithProvedEndIsDelivered(t *testing.T) {
	t.Parallel()
	for _, upload := range []int{bufferedUpload, streamedUpload} {
		for _, response := range []int{bufferedAnswer, streamedAnswer} {
			for _, e := range []earlyResponse{
				{framing: framedByLength, ending: fake.EndingUnread},
				{framing: framedByChunks, ending: fake.EndingUnread},
				{framing: framedByLength, ending: fake.EndingHalfClosed},
				{framing: framedByChunks, ending: fake.EndingHalfClosed},
				{framing: framedByClose, ending: fake.EndingHalfClosed},
				{framing: framedByClose, ending: fake.EndingClosed},
			} {
				e.upload, e.response = upload, response
				t.Run(fmt.Sprint(upload, " ", response, " ", e.framing, " ", e.ending), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					got := e.call(t)
					is.NoErr(got.err)
					is.NoErr(got.bodyErr)
					is.Equal(got.status, http.StatusOK)
					is.True(got.body == string(numberedBody(response)))
				})
			}
		}
	}
}

// Whatever a target leaves out of its response and however it ends its connection, a
// caller that gets a whole success gets the whole body.
func TestRandomEndsOfResponses(t *testing.T) {
	t.Parallel()
	const seeds, calls = 4, 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			for range calls {
				e := earlyResponse{
					framing: framing(random.IntN(int(framings))), ending: fake.Ending(random.IntN(int(fake.Endings))),
					upload:   []int{0, 1000, bufferedUpload, streamedUpload}[random.IntN(4)],
					response: []int{100, bufferedAnswer, streamedAnswer}[random.IntN(3)],
				}
				if random.IntN(4) > 0 {
					e.cut = 1 + random.IntN(len(e.framing.encode("id", numberedBody(e.response))))
				}
				// Nobody can tell a body without a length that is short from one that is whole. A
				// short upload leaves nothing unread.
				isEnded := e.ending != fake.EndingReset && (e.ending != fake.EndingUnread || e.upload < bufferedUpload)
				if e.framing == framedByClose && isEnded {
					e.cut = 0
				}
				got := e.call(t)
				if got.isWhole() && !bytes.Equal([]byte(got.body), numberedBody(e.response)) {
					t.Errorf("%+v: the caller got %d bytes as a whole response", e, len(got.body))
				}
			}
		})
	}
}
