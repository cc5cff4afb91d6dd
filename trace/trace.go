// Package trace reads recorded cases and replays them in a test environment. A
// case is a sequence of callers' requests and of faults of the platform, the
// targets and the network; each request states its expected outcome.
//
// A case is a file of JSON lines with keys in camel case: the first line is the
// header, the other lines are the steps.
package trace

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line of a case, in bytes.
const maxLineBytes = 1 << 20

// Head is the header of a case, its first line.
type Head struct {
	Case    string `json:"case"`    // name of the case
	Promise string `json:"promise"` // guarantee that the case tests
	VMs     int    `json:"vms"`     // number of VMs in each zone; zero means one
}

// Step is one request or fault. Do selects the action and thereby the fields that
// are used; the implementation of Environment defines the actions.
type Step struct {
	Do      string `json:"do"`                // name of the action
	VM      int    `json:"vm,omitempty"`      // index of the VM
	ID      string `json:"id,omitempty"`      // id of the row to write
	Request string `json:"request,omitempty"` // idempotency key of the request
	Session string `json:"session,omitempty"` // name of the session; each session keeps its own token
	MS      int64  `json:"ms,omitempty"`      // duration in milliseconds
	On      bool   `json:"on,omitempty"`      // true if the fault begins, false if it ends
	Expect  string `json:"expect,omitempty"`  // expected outcome: ran, notRun, unknown or a SQLSTATE
	Total   *int64 `json:"total,omitempty"`   // number of rows that a read must count
}

// Observed is the observed result of a step.
type Observed struct {
	Outcome string // ran, notRun or unknown
	Code    string // SQLSTATE of a refusal
	Total   int64  // number of rows that a read counted
}

// Environment executes the steps of a case.
type Environment interface {
	// Do executes a step. An error means that the step could not be executed, not
	// that it had an unexpected outcome.
	Do(ctx context.Context, s Step) (Observed, error)
}

// Read reads a case. It returns an error with the line number if a line is invalid
// or has an unknown field.
func Read(r io.Reader) (Head, []Step, error) {
	var head Head
	var steps []Step
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for n := 1; scanner.Scan(); n++ {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(line))
		d.DisallowUnknownFields()
		var err error
		if head.Case == "" {
			err = d.Decode(&head)
			if err == nil && head.Case == "" {
				err = errors.New("first line has no case name")
			}
		} else {
			var s Step
			err = d.Decode(&s)
			steps = append(steps, s)
		}
		if err != nil {
			return head, steps, errors.Wrapf(err, "line %d", n)
		}
	}
	if head.Case == "" {
		return head, steps, errors.New("case is empty")
	}
	return head, steps, errors.Wrap(scanner.Err(), "read case")
}

// Compare describes how an observed result differs from the expected one. It
// returns an empty string if they match.
func Compare(s Step, o Observed) string {
	if s.Expect != "" && s.Expect != o.Outcome && s.Expect != o.Code {
		return fmt.Sprintf("got outcome %s %s, want %s", o.Outcome, o.Code, s.Expect)
	}
	if s.Total != nil && o.Outcome == "ran" && *s.Total != o.Total {
		return fmt.Sprintf("got total %d, want %d", o.Total, *s.Total)
	}
	return ""
}

// Replay executes the steps in order. It returns a description of each result that
// differs from the expected one, and an error if a step could not be executed.
func Replay(ctx context.Context, steps []Step, env Environment) ([]string, error) {
	var mismatches []string
	for i, s := range steps {
		o, err := env.Do(ctx, s)
		if err != nil {
			return mismatches, errors.Wrapf(err, "step %d, %s", i+1, s.Do)
		}
		if text := Compare(s, o); text != "" {
			mismatches = append(mismatches, fmt.Sprintf("step %d, %s: %s", i+1, s.Do, text))
		}
	}
	return mismatches, nil
}
