package trail

import (
	"os"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// TestTimeline compares the timeline of a request that got no response from one
// target and was sent to another with a golden file. UPDATE=1 rewrites the file.
func TestTimeline(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first, err := os.Open("testdata/vm-1.log")
	is.NoErr(err)
	defer func() { _ = first.Close() }()
	second, err := os.Open("testdata/vm-2.log")
	is.NoErr(err)
	defer func() { _ = second.Close() }()
	timeline, err := Read("9c41d07be2a35f68", first, second)
	is.NoErr(err)
	var text strings.Builder
	is.NoErr(timeline.Write(&text))
	const golden = "testdata/story.golden"
	if os.Getenv("UPDATE") != "" {
		is.NoErr(os.WriteFile(golden, []byte(text.String()), 0o600))
	}
	expected, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(text.String(), string(expected))
}

func TestUnknownRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := Read("none", strings.NewReader("{}\nnot a line\n"))
	is.True(trace.IsNotFound(err))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"time":"2026-03-10T20:20:56.291387999Z","level":"INFO","msg":"started","vm":"a","request":"x","took":5}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = parseLine(text)
	})
}

// The timeline of a refused request shows the evacuation that its VM knew of.
func TestTimelineShowsEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	timeline, err := Read("x", strings.NewReader(
		`{"time":"2026-03-10T20:20:56Z","msg":"evacuation","vm":"a","place":"p","state":"Begun","evacuated":["p"],"completeIn":2500000000}
{"time":"2026-03-10T20:20:59Z","msg":"refused","vm":"a","request":"x","reason":"Evacuated"}
`))
	is.NoErr(err)
	var text strings.Builder
	is.NoErr(timeline.Write(&text))
	is.True(strings.Contains(text.String(), "reason=Evacuated"))
	is.True(strings.Contains(text.String(), "evacuation, 3s before: completeIn=2.5s evacuated=[p] place=p state=Begun"))
}
