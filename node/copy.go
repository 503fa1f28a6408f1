package node

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry/head"
	"monsoonferry.org/ferry/lead"
)

const (
	pathRecords      = "/Records"
	queryAfter       = "After"
	queryDictionary  = "Dictionary"
	headerDictionary = "Ferry-Dictionary"
	// copyTimeout bounds a copy of the records from another VM.
	copyTimeout = 600 * time.Millisecond
	// maxCopyBytes is the maximum size of a compressed copy.
	maxCopyBytes = 8 << 20
	// maxCopyHeaderBytes bounds the header of the response that carries it.
	maxCopyHeaderBytes = 16 << 10
)

// controlHandler serves copies of the records to other VMs.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRecords, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get(queryAfter), 10, 64)
		if err != nil {
			http.Error(w, queryAfter+" is not a number", http.StatusBadRequest)
			return
		}
		var dictionary uint64
		if dictionary, err = strconv.ParseUint(r.URL.Query().Get(queryDictionary), 10, 64); err != nil {
			http.Error(w, queryDictionary+" is not a number", http.StatusBadRequest)
			return
		}
		requested := copyRequested{after: after, dictionary: dictionary, reply: make(chan copyResult, 1)}
		n.post(requested)
		select {
		case result := <-requested.reply:
			if result.err != nil {
				n.log.Error("compressing the records for another VM failed", "error", result.err)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set(headerDictionary, strconv.FormatUint(result.dictionary, 10))
			n.traffic.countCopy(len(result.packed))
			// The other VM retries if this fails.
			_, _ = w.Write(result.packed)
		case <-r.Context().Done():
		}
	})
	return mux
}

// copyClient makes copies. Connections are not kept, since copies are rare.
var copyClient = &http.Client{Transport: head.NewTransport(&http.Transport{
	DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxCopyHeaderBytes,
})}

// startCopy copies the records of another VM in the background.
func (n *Node) startCopy(ctx context.Context, start lead.StartCopy) {
	_, dictionary := n.controller.Revisions()
	url := "http://" + start.From.String() + pathRecords +
		"?" + queryAfter + "=" + strconv.FormatUint(start.After, 10) + "&" + queryDictionary + "=" + strconv.FormatUint(dictionary, 10)
	go func() {
		received, err := copyRecords(ctx, url)
		if err != nil {
			n.log.Info("copying the records of another VM failed", "from", start.From, "error", err)
			return
		}
		n.post(received)
	}()
}

func copyRecords(ctx context.Context, url string) (received copyReceived, err error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err != nil {
		return copyReceived{}, trace.Wrap(err)
	}
	var response *http.Response
	if response, err = copyClient.Do(request); err != nil {
		return copyReceived{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return copyReceived{}, trace.Errorf("the other VM replied with HTTP status %d", response.StatusCode)
	}
	if received.dictionary, err = strconv.ParseUint(response.Header.Get(headerDictionary), 10, 64); err != nil {
		return copyReceived{}, trace.Wrap(err)
	}
	received.packed, err = io.ReadAll(io.LimitReader(response.Body, maxCopyBytes))
	return received, trace.Wrap(err)
}
