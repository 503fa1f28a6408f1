// Package trail reconstructs from the logs of VMs the timeline of one request, and
// counts what callers lost.
//
// # Concept
//
// Each VM writes one JSON object per line. A line with the field "request" is an
// event of that request. Lines without it report changes in the state of a VM: its
// configuration, records and their freshness, evacuations, leader, view and readiness. A
// timeline holds the events in order of time, each with the state of its VM and the
// age of that state.
//
// # Usage
//
//	timeline, err := trail.Read(id, reader)
//	err = timeline.Write(os.Stdout)
//
// Losses tells what callers did not get, from the logs of many VMs:
//
//	losses, err := trail.ReadLosses(2*time.Second, readers...)
//	err = losses.Write(os.Stdout)
package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// startMessage is the message of the first log line of a process.
const startMessage = "started"

// stateMessages are the messages of lines that report the state of a VM, in the
// order in which Write prints them.
var stateMessages = []string{
	startMessage, "configuration", "freshness", "proof overdue", "proof renewed", "records", "evacuation", "lead", "view", "allowances divided", "store not read",
	"readiness", "cold target", "drain started",
}

// Line is one log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	Request string
	// Fields are the remaining fields, sorted by name, without the level.
	Fields []Field
}

// Field is a field of a log line, with its formatted value.
type Field struct {
	Name  string
	Value string
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	ID string
	// Events are the lines about the request, in order of time.
	Events []Line
	// States are the lines on the state of the VMs of Events, in order of time.
	States []Line
	// Unreadable counts the lines that could not be parsed.
	Unreadable int
}

// Read builds the timeline of a request from the logs of any number of VMs.
func Read(id string, logs ...io.Reader) (*Timeline, error) {
	timeline := &Timeline{ID: id}
	var states []Line
	unreadable, err := readLines(logs, func(line Line) {
		switch {
		case line.Request == id:
			timeline.Events = append(timeline.Events, line)
		case line.Request == "" && slices.Contains(stateMessages, line.Message):
			states = append(states, line)
		}
	})
	if err != nil {
		return nil, err
	}
	timeline.Unreadable = unreadable
	if len(timeline.Events) == 0 {
		return nil, trace.NotFound("no log line has the request ID %q", id)
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(timeline.Events, byTime)
	slices.SortStableFunc(states, byTime)
	for _, line := range states {
		if slices.ContainsFunc(timeline.Events, func(event Line) bool { return event.VM == line.VM }) {
			timeline.States = append(timeline.States, line)
		}
	}
	return timeline, nil
}

// Open opens log files, or standard input if no path is given. The caller has to call
// closeAll.
func Open(paths []string) (logs []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range paths {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, trace.ConvertSystemError(err)
		}
		files, logs = append(files, file), append(logs, file)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	return logs, closeAll, nil
}

// readLines passes the lines of the logs to handle. It returns the number of lines that
// could not be parsed.
func readLines(logs []io.Reader, handle func(Line)) (unreadable int, err error) {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, err := parseLine(scanner.Bytes())
			if err != nil {
				unreadable++
				continue
			}
			handle(line)
		}
		if err := scanner.Err(); err != nil {
			return unreadable, trace.Wrap(err)
		}
	}
	return unreadable, nil
}

// parseLine parses one line. It skips the prefix that a log collector may add.
func parseLine(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, trace.BadParameter("the line has no JSON object")
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, trace.Wrap(err)
	}
	line := Line{}
	var err error
	for name, value := range fields {
		switch name {
		case "time":
			if line.At, err = time.Parse(time.RFC3339Nano, fmt.Sprint(value)); err != nil {
				return Line{}, trace.Wrap(err)
			}
		case "msg":
			line.Message = fmt.Sprint(value)
		case "vm":
			line.VM = fmt.Sprint(value)
		case "request":
			line.Request = fmt.Sprint(value)
		case "level":
		default:
			line.Fields = append(line.Fields, Field{Name: name, Value: formatValue(name, value)})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return line, nil
}

// durationFields are the fields whose values are nanoseconds.
var durationFields = []string{"took", "cost", "age", "retryAfter", "proofAge", "known", "completeIn"}

// formatValue formats the value of a field, durations to the microsecond.
func formatValue(name string, value any) string {
	number, isNumber := value.(float64)
	switch {
	case isNumber && slices.Contains(durationFields, name):
		return time.Duration(number).Round(time.Microsecond).String()
	case value == nil:
		return "-"
	}
	return fmt.Sprint(value)
}

// Write prints the timeline as text.
func (t *Timeline) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", t.ID)
	for _, event := range t.Events {
		fmt.Fprintf(&text, "\n%s %s: %s%s\n", event.At.Format("15:04:05.000"), event.VM, event.Message, formatFields(event.Fields))
		for _, message := range stateMessages {
			if state, ok := t.lastState(event, message); ok {
				age := event.At.Sub(state.At).Round(time.Millisecond)
				fmt.Fprintf(&text, "    %s, %v before:%s\n", state.Message, age, formatFields(state.Fields))
			}
		}
	}
	if t.Unreadable > 0 {
		fmt.Fprintf(&text, "\n%d lines could not be read\n", t.Unreadable)
	}
	_, err := io.WriteString(w, text.String())
	return trace.Wrap(err)
}

// lastState returns the last line with the message that the event's process had logged.
func (t *Timeline) lastState(event Line, message string) (Line, bool) {
	for i := len(t.States) - 1; i >= 0; i-- {
		state := t.States[i]
		if state.VM != event.VM || state.At.After(event.At) {
			continue
		}
		if state.Message == message {
			return state, true
		}
		if state.Message == startMessage {
			// Earlier lines are of a previous process, whose state is lost.
			break
		}
	}
	return Line{}, false
}

func formatFields(fields []Field) string {
	var text strings.Builder
	for _, field := range fields {
		fmt.Fprintf(&text, " %s=%s", field.Name, field.Value)
	}
	return text.String()
}
