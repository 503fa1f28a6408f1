package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Problem is one fault in a document.
type Problem struct {
	// Path is the JSON path of the field, such as Targets[3].Slots.
	Path string
	Text string
}

// ProblemsError is the error that lists every fault of a document.
type ProblemsError []Problem

// Error implements error.
func (p ProblemsError) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Path+": "+problem.Text)
	}
	return strings.Join(lines, "\n")
}

// add appends a problem.
func (p *ProblemsError) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// orNil returns p as an error, or nil when there is no problem.
func (p ProblemsError) orNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// decode reads text into document after it has checked that every field is
// known, named once and of the right kind.
func decode(text []byte, document any) error {
	var problems ProblemsError
	if len(text) > MaxValueBytes {
		problems.add("$", "the document has %d bytes, more than %d", len(text), MaxValueBytes)
		return problems
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	scanner := shapeScanner{decoder: decoder}
	if err := scanner.value("$", reflect.TypeOf(document).Elem()); err != nil {
		scanner.problems.add("$", "%v", err)
		return scanner.problems
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		scanner.problems.add("$", "there is text after the document")
	}
	if len(scanner.problems) > 0 {
		return scanner.problems
	}
	if err := json.Unmarshal(text, document); err != nil {
		problems.add("$", "%v", err)
	}
	return problems.orNil()
}

// shapeScanner compares a JSON document with a Go type, token by token.
type shapeScanner struct {
	decoder  *json.Decoder
	problems ProblemsError
}

// value checks the next value against kind. It returns an error only for text
// that is not JSON.
func (s *shapeScanner) value(path string, kind reflect.Type) error {
	var token json.Token
	var err error
	if token, err = s.decoder.Token(); err != nil {
		return fmt.Errorf("the document is not JSON: %w", err)
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return s.object(path, kind)
		}
		return s.array(path, kind)
	case string:
		s.require(path, kind, "a string", kind.Kind() == reflect.String)
	case json.Number:
		s.number(path, kind, token)
	case bool:
		s.require(path, kind, "true or false", kind.Kind() == reflect.Bool)
	case nil:
		s.problems.add(path, "null is not allowed; leave the field out")
	}
	return nil
}

func (s *shapeScanner) require(path string, kind reflect.Type, got string, ok bool) {
	if !ok {
		s.problems.add(path, "expected %s, found %s", kindName(kind), got)
	}
}

func (s *shapeScanner) number(path string, kind reflect.Type, number json.Number) {
	switch kind.Kind() {
	case reflect.Float64:
		if _, err := number.Float64(); err != nil {
			s.problems.add(path, "the number %s is out of range", number)
		}
	case reflect.Int, reflect.Int64:
		if _, err := number.Int64(); err != nil {
			s.problems.add(path, "expected a whole number, found %s", number)
		}
	case reflect.Uint64:
		var probe uint64
		if err := json.Unmarshal([]byte(number), &probe); err != nil {
			s.problems.add(path, "expected a whole number from 0, found %s", number)
		}
	default:
		s.require(path, kind, "a number", false)
	}
}

func (s *shapeScanner) object(path string, kind reflect.Type) error {
	isStruct := kind.Kind() == reflect.Struct
	s.require(path, kind, "an object", isStruct)
	seen := map[string]bool{}
	for s.decoder.More() {
		var token json.Token
		var err error
		if token, err = s.decoder.Token(); err != nil {
			return fmt.Errorf("the document is not JSON: %w", err)
		}
		name, _ := token.(string)
		child := join(path, name)
		if seen[name] {
			s.problems.add(child, "the field is given twice")
		}
		seen[name] = true
		fieldKind := reflect.TypeFor[any]()
		if isStruct {
			if field, ok := kind.FieldByName(name); ok {
				fieldKind = field.Type
			} else {
				s.problems.add(child, "unknown field")
			}
		}
		if err := s.skipOrCheck(child, fieldKind); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *shapeScanner) array(path string, kind reflect.Type) error {
	elem := reflect.TypeFor[any]()
	isSlice := kind.Kind() == reflect.Slice
	s.require(path, kind, "a list", isSlice)
	if isSlice {
		elem = kind.Elem()
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.skipOrCheck(fmt.Sprintf("%s[%d]", path, i), elem); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

// skipOrCheck passes over a value of unknown kind without further problems.
func (s *shapeScanner) skipOrCheck(path string, kind reflect.Type) error {
	if kind.Kind() != reflect.Interface {
		return s.value(path, kind)
	}
	var ignored json.RawMessage
	return s.decoder.Decode(&ignored)
}

func join(path, name string) string {
	if path == "$" {
		return name
	}
	return path + "." + name
}

func kindName(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "an object"
	default:
		return "a number"
	}
}
