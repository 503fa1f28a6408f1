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

// Problem is one error in a document.
type Problem struct {
	// Path is the JSON path of the field, such as Targets[3].Slots.
	Path string
	Text string
}

// ProblemsError lists all errors in a document.
type ProblemsError []Problem

// Error implements error.
func (p ProblemsError) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Path+": "+problem.Text)
	}
	return strings.Join(lines, "\n")
}

func (p *ProblemsError) add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// errorOrNil returns p as an error, or nil when there is no problem.
func (p ProblemsError) errorOrNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// decode decodes text into document. It first checks that every field exists in
// document, occurs once and has the right type.
func decode(text []byte, document any) error {
	var problems ProblemsError
	if len(text) > MaxValueBytes {
		problems.add("$", "the document has %d bytes, more than %d", len(text), MaxValueBytes)
		return problems
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	checker := schemaChecker{decoder: decoder}
	if err := checker.checkValue("$", reflect.TypeOf(document).Elem()); err != nil {
		checker.problems.add("$", "%v", err)
		return checker.problems
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		checker.problems.add("$", "there is text after the document")
	}
	if len(checker.problems) > 0 {
		return checker.problems
	}
	if err := json.Unmarshal(text, document); err != nil {
		problems.add("$", "%v", err)
	}
	return problems.errorOrNil()
}

// schemaChecker compares a JSON document with a Go type, token by token.
type schemaChecker struct {
	decoder  *json.Decoder
	problems ProblemsError
}

// checkValue checks the next value against goType. It returns an error only for
// text that is not JSON.
func (s *schemaChecker) checkValue(path string, goType reflect.Type) error {
	var token json.Token
	var err error
	if token, err = s.decoder.Token(); err != nil {
		return fmt.Errorf("the document is not JSON: %w", err)
	}
	switch token := token.(type) {
	case json.Delim:
		if token == '{' {
			return s.checkObject(path, goType)
		}
		return s.checkArray(path, goType)
	case string:
		s.requireType(path, goType, "a string", goType.Kind() == reflect.String)
	case json.Number:
		s.checkNumber(path, goType, token)
	case bool:
		s.requireType(path, goType, "true or false", goType.Kind() == reflect.Bool)
	case nil:
		s.problems.add(path, "null is not allowed; leave the field out")
	}
	return nil
}

func (s *schemaChecker) requireType(path string, goType reflect.Type, found string, isMatch bool) {
	if !isMatch {
		s.problems.add(path, "expected %s, found %s", typeName(goType), found)
	}
}

func (s *schemaChecker) checkNumber(path string, goType reflect.Type, number json.Number) {
	switch goType.Kind() {
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
		s.requireType(path, goType, "a number", false)
	}
}

func (s *schemaChecker) checkObject(path string, goType reflect.Type) error {
	isStruct := goType.Kind() == reflect.Struct
	s.requireType(path, goType, "an object", isStruct)
	seen := map[string]bool{}
	for s.decoder.More() {
		var token json.Token
		var err error
		if token, err = s.decoder.Token(); err != nil {
			return fmt.Errorf("the document is not JSON: %w", err)
		}
		name, _ := token.(string)
		child := joinPath(path, name)
		if seen[name] {
			s.problems.add(child, "the field is given twice")
		}
		seen[name] = true
		fieldType := reflect.TypeFor[any]()
		if isStruct {
			if field, ok := goType.FieldByName(name); ok {
				fieldType = field.Type
			} else {
				s.problems.add(child, "unknown field")
			}
		}
		if err := s.checkOrSkip(child, fieldType); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func (s *schemaChecker) checkArray(path string, goType reflect.Type) error {
	elementType := reflect.TypeFor[any]()
	isSlice := goType.Kind() == reflect.Slice
	s.requireType(path, goType, "a list", isSlice)
	if isSlice {
		elementType = goType.Elem()
	}
	for i := 0; s.decoder.More(); i++ {
		if err := s.checkOrSkip(fmt.Sprintf("%s[%d]", path, i), elementType); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

// checkOrSkip checks the next value, or skips it if its type is unknown.
func (s *schemaChecker) checkOrSkip(path string, goType reflect.Type) error {
	if goType.Kind() != reflect.Interface {
		return s.checkValue(path, goType)
	}
	var ignored json.RawMessage
	return s.decoder.Decode(&ignored)
}

func joinPath(path, name string) string {
	if path == "$" {
		return name
	}
	return path + "." + name
}

func typeName(goType reflect.Type) string {
	switch goType.Kind() {
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
