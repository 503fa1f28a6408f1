//go:build !race

package soak

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"monsoonferry.org/ferry/spawn"
)

const (
	// roundTime is the time for which callers of a round send requests.
	roundTime = 16 * time.Second
)

// fixedSeeds are the seeds of the tests: grace periods of 6 s, 6 s and 4 s.
var fixedSeeds = []uint64{2, 5, 8}

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	program = os.Getenv("SOAK_PROGRAM")
	if program == "" {
		built, remove, err := spawn.Build()
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer remove()
		program = built
	}
	return m.Run()
}

// number returns an environment variable, or another value.
func number(t *testing.T, name string, otherwise uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

func TestPlannedStops(t *testing.T) {
	seeds := fixedSeeds
	if os.Getenv("SOAK_SEED") != "" {
		seeds = nil
		first := number(t, "SOAK_SEED", 0)
		for i := range number(t, "SOAK_ROUNDS", 1) {
			seeds = append(seeds, first+i)
		}
	}
	traffic := time.Duration(number(t, "SOAK_SECONDS", uint64(roundTime.Seconds()))) * time.Second
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			l := startLab(t, seed, traffic)
			l.play()
			l.check()
		})
	}
}
