//go:build !race

package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// threadStates returns the states of the threads of a process, its first one first.
func threadStates(pid int) string {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return ""
	}
	first := fmt.Sprintf("/proc/%d/task/%d/stat", pid, pid)
	var states strings.Builder
	for _, path := range append([]string{first}, paths...) {
		text, readErr := os.ReadFile(path)
		if _, state, ok := strings.Cut(string(text), ") "); ok && readErr == nil {
			states.WriteString(state[:1])
		}
	}
	return states.String()
}

// hasCalledExit reports whether a process has ended its own first thread, as it does only
// when it exits. What is left of it waits for a processor.
func hasCalledExit(states string) bool { return strings.HasPrefix(states, "Z") }
