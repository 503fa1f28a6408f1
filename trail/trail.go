// Package trail tells what happened to one request from the logs of many VMs.
//
// # Concept
//
// Each VM writes one JSON object a line. A line with the field "request" is a
// decision about that request. Lines without it change what a VM believes: the
// configuration, the freshness of its knowledge, its lead, its view, the
// targets. A story holds the decisions in the order of time, and before each the
// beliefs of that VM with their age.
//
// # Usage
//
//	story, err := trail.Read(id, reader)
//	err = story.Write(os.Stdout)
package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxLine is the longest log line, in bytes.
const maxLine = 1 << 20

// startMessage is the message of the first line of a process.
const startMessage = "started"

// beliefs are the messages of lines that change what a VM believes, in the
// order in which a story shows them.
var beliefs = []string{startMessage, "configuration", "freshness", "records", "lead", "view", "store not read", "readiness", "drain started"}

// Line is one log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	Request string
	// Fields are the other fields in the order of their names.
	Fields []Field
}

// Field is one further field of a line.
type Field struct {
	Name  string
	Value string
}

// Timeline is what the logs tell about one request.
type Timeline struct {
	ID string
	// Events are the lines about the request, in the order of time.
	Events []Line
	// States are the lines that tell what the VMs of the decisions believed.
	States []Line
	// Unreadable counts the lines that are no log lines.
	Unreadable int
}

// Read reads the logs of any number of VMs.
func Read(id string, logs ...io.Reader) (*Timeline, error) {
	story := &Timeline{ID: id}
	var believed []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, err := parse(scanner.Bytes())
			switch {
			case err != nil:
				story.Unreadable++
			case line.Request == id:
				story.Events = append(story.Events, line)
			case line.Request == "" && slices.Contains(beliefs, line.Message):
				believed = append(believed, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if len(story.Events) == 0 {
		return nil, trace.NotFound("no line tells of the request %q", id)
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(story.Events, byTime)
	slices.SortStableFunc(believed, byTime)
	for _, line := range believed {
		if slices.ContainsFunc(story.Events, func(d Line) bool { return d.VM == line.VM }) {
			story.States = append(story.States, line)
		}
	}
	return story, nil
}

// parse reads one line. What a collector wrote before the JSON is passed over.
func parse(text []byte) (Line, error) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, trace.BadParameter("no JSON object")
	}
	var fields map[string]any
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
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
			line.Fields = append(line.Fields, Field{Name: name, Value: show(name, value)})
		}
	}
	slices.SortFunc(line.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	return line, nil
}

// durations are the fields that hold nanoseconds.
var durations = []string{"took", "cost", "age", "retryAfter"}

// show renders the value of a field.
func show(name string, value any) string {
	number, isNumber := value.(float64)
	switch {
	case isNumber && slices.Contains(durations, name):
		return time.Duration(number).Round(time.Microsecond).String()
	case value == nil:
		return "-"
	}
	return fmt.Sprint(value)
}

// Write writes the story for people.
func (s *Timeline) Write(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s\n", s.ID)
	for _, decision := range s.Events {
		fmt.Fprintf(&text, "\n%s %s: %s%s\n", decision.At.Format("15:04:05.000"), decision.VM, decision.Message, join(decision.Fields))
		for _, message := range beliefs {
			if belief, ok := s.last(decision, message); ok {
				age := decision.At.Sub(belief.At).Round(time.Millisecond)
				fmt.Fprintf(&text, "    %s, %v before:%s\n", belief.Message, age, join(belief.Fields))
			}
		}
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(&text, "\n%d lines could not be read\n", s.Unreadable)
	}
	_, err := io.WriteString(w, text.String())
	return trace.Wrap(err)
}

// last returns the last belief of a kind that the process of a decision had.
func (s *Timeline) last(decision Line, message string) (Line, bool) {
	for i := len(s.States) - 1; i >= 0; i-- {
		belief := s.States[i]
		if belief.VM != decision.VM || belief.At.After(decision.At) {
			continue
		}
		if belief.Message == message {
			return belief, true
		}
		if belief.Message == startMessage {
			// A process knows nothing of the one before.
			break
		}
	}
	return Line{}, false
}

func join(fields []Field) string {
	var text strings.Builder
	for _, field := range fields {
		fmt.Fprintf(&text, " %s=%s", field.Name, field.Value)
	}
	return text.String()
}
