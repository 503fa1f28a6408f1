package lead

import (
	"bytes"
	"compress/flate"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// An empty record takes two bytes before compression, and about a hundred as a value.
func TestUpdateOfManyEmptyRecordsIsRefused(t *testing.T) {
	is := is.New(t)
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestCompression)
	is.NoErr(err)
	_, err = writer.Write(bytes.Repeat([]byte("\x1a\x00"), maxUnpackedBytes/4))
	is.NoErr(err)
	is.NoErr(writer.Close())
	is.True(packed.Len() < 16<<10) // fits into one message between VMs
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = UnpackUpdate(packed.Bytes(), nil)
	runtime.ReadMemStats(&after)
	is.True(err != nil)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 8*maxUnpackedBytes {
		t.Errorf("%d MB were allocated", allocated>>20)
	}
}

func TestLargestUpdate(t *testing.T) {
	is := is.New(t)
	update := Update{Revision: 1, Records: make([]UpdateRecord, maxUpdateRecords)}
	packed, err := PackUpdate(update, nil)
	is.NoErr(err)
	unpacked, err := UnpackUpdate(packed, nil)
	is.NoErr(err)
	is.Equal(len(unpacked.Records), maxUpdateRecords)
}
