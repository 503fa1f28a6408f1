package check

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"monsoonferry.org/ferry"
)

// Finding is a mistake, or a change that callers will notice.
type Finding struct {
	ferry.Finding
	Severity Severity
}

// New returns a finding with the severity of its rule.
func New(finding ferry.Finding) Finding {
	return Finding{Finding: finding, Severity: SeverityOf(finding.Rule)}
}

// Decoded returns the findings of the decoder.
func Decoded(inventory *ferry.Inventory) []Finding {
	findings := make([]Finding, 0, len(inventory.Findings))
	for _, finding := range inventory.Findings {
		findings = append(findings, New(finding))
	}
	return findings
}

// Sort sorts findings: errors first, then by path, rule and text.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(b.Severity, a.Severity), comparePaths(a.Path, b.Path),
			cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Text, b.Text),
		)
	})
}

// comparePaths compares paths so that the entry 9 of a list comes before the entry 10.
func comparePaths(a, b string) int {
	for a != "" && b != "" {
		digitsA, digitsB := leadingDigits(a), leadingDigits(b)
		if digitsA == "" || digitsB == "" {
			if a[0] != b[0] {
				return cmp.Compare(a[0], b[0])
			}
			a, b = a[1:], b[1:]
			continue
		}
		if order := cmp.Or(cmp.Compare(len(digitsA), len(digitsB)), cmp.Compare(digitsA, digitsB)); order != 0 {
			return order
		}
		a, b = a[len(digitsA):], b[len(digitsB):]
	}
	return cmp.Compare(len(a), len(b))
}

func leadingDigits(text string) string {
	return text[:len(text)-len(strings.TrimLeft(text, "0123456789"))]
}

// Worst returns the highest severity.
func Worst(findings []Finding) Severity {
	worst := None
	for _, finding := range findings {
		worst = max(worst, finding.Severity)
	}
	return worst
}

func count(findings []Finding, severity Severity) int {
	number := 0
	for _, finding := range findings {
		if finding.Severity == severity {
			number++
		}
	}
	return number
}

// WriteText writes findings for people, one a line, and their number.
func WriteText(w io.Writer, findings []Finding) error {
	var text strings.Builder
	for _, finding := range findings {
		name := ""
		if finding.Name != "" {
			name = " " + printable(finding.Name)
		}
		fmt.Fprintf(&text, "%s %s %s%s: %s\n", finding.Severity, finding.Rule, printable(finding.Path), name, printable(finding.Text))
	}
	fmt.Fprintf(&text, "%d errors, %d warnings\n", count(findings, Error), count(findings, Warning))
	_, err := io.WriteString(w, text.String())
	return trace.ConvertSystemError(err)
}

// printable quotes a text with control characters, which would break the line.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

type (
	reportDocument struct {
		Errors   int
		Warnings int
		Findings []findingDocument
	}
	findingDocument struct {
		Severity string
		Rule     string
		Path     string
		Name     string
		Text     string
	}
)

// WriteJSON writes findings as one JSON object.
func WriteJSON(w io.Writer, findings []Finding) error {
	document := reportDocument{
		Errors: count(findings, Error), Warnings: count(findings, Warning), Findings: make([]findingDocument, 0, len(findings)),
	}
	for _, finding := range findings {
		document.Findings = append(document.Findings, findingDocument{
			Severity: finding.Severity.String(), Rule: finding.Rule, Path: finding.Path, Name: finding.Name, Text: finding.Text,
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(document))
}
