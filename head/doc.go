// Package head checks the heads of HTTP/1.1 responses, strictly, as their bytes are read.
//
// # Concept
//
// Package http repairs what it reads. It takes any three characters that are a number for a
// status. A target in trouble that sends such a head gets its response believed.
//
// A Checker reads the same bytes before package http does, and refuses a head by RFC 9112
// section 4 and RFC 9110 section 15. Each thing that it refuses is a Fault. A
// head is valid only when its last line has been checked, and package http returns no response
// before it has read that line, so no byte has to be held back.
//
// A head with a Fault is no response. Whatever follows on its connection belongs to nobody:
// the connection has to be closed, and nothing is known about the execution of the request.
//
// # Usage
//
//	checker.Begin()
//	n, err := checker.Check(p)
package head
