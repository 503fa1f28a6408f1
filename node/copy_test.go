package node

import (
	"net/http"
	"testing"

	"monsoonferry.org/ferry/fake"
)

// startCopySource starts a VM that answers a request for a copy with bytes and ends the
// connection. It returns the URL of the copy.
func startCopySource(t *testing.T, response []byte) string {
	t.Helper()
	address, err := fake.Responder(func(*http.Request) ([]byte, bool) { return response, true }).Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return "http://" + address.String() + pathRecords
}

// A copy of another VM's records whose response has an invalid head is none.
func TestInvalidHeadOfCopyIsNoResponse(t *testing.T) {
	t.Parallel()
	for _, invalid := range fake.InvalidHeads() {
		t.Run(invalid.Name, func(t *testing.T) {
			t.Parallel()
			received, err := copyRecords(t.Context(), startCopySource(t, invalid.Encode(headerDictionary+": 7")))
			if err == nil {
				t.Errorf("the records are %q with dictionary %d", received.packed, received.dictionary)
			}
		})
	}
}

// A valid head is a response, however unusual it is.
func TestValidHeadOfCopyIsResponse(t *testing.T) {
	t.Parallel()
	for _, valid := range fake.ValidHeads() {
		t.Run(valid.Name, func(t *testing.T) {
			t.Parallel()
			received, err := copyRecords(t.Context(), startCopySource(t, valid.Encode(headerDictionary+": 7")))
			if valid.Status == "HTTP/1.1 299 Fine" {
				if err == nil {
					t.Error("another status than 200 was taken for a copy")
				}
				return
			}
			if err != nil || string(received.packed) != fake.HeadBody || received.dictionary != 7 {
				t.Errorf("the records are %q with dictionary %d, %v", received.packed, received.dictionary, err)
			}
		})
	}
}
