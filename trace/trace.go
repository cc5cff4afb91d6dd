// Package trace reads recorded cases and replays them against a world: requests
// of callers and faults of the platform, the targets and the network, in their
// order, each request with the outcome that was stated for it.
//
// A case is a file of JSON lines with names in camel case: the first one names
// the case, the others are steps.
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

// maxLine bounds a line of a case, in bytes.
const maxLine = 1 << 20

// Head is the first line of a case.
type Head struct {
	Case    string `json:"case"`
	Promise string `json:"promise"` // that the case is about
	VMs     int    `json:"vms"`     // in each zone; zero for one
}

// Step is one request or fault. Which fields count depends on Do; see World.
type Step struct {
	Do      string `json:"do"`
	VM      int    `json:"vm,omitempty"`
	ID      string `json:"id,omitempty"`      // of the row written
	Request string `json:"request,omitempty"` // request id
	Session string `json:"session,omitempty"` // name of the session; each keeps its token
	MS      int64  `json:"ms,omitempty"`
	On      bool   `json:"on,omitempty"`
	Expect  string `json:"expect,omitempty"` // ran, notRun, unknown or a SQLSTATE
	Total   *int64 `json:"total,omitempty"`  // rows that a read must show
}

// Observed is what became of a step.
type Observed struct {
	Outcome string // ran, notRun or unknown
	Code    string // SQLSTATE of a refusal
	Total   int64
}

// World carries out steps. An error means that a step could not be carried out,
// not that it had an unexpected outcome.
type World interface {
	Do(ctx context.Context, s Step) (Observed, error)
}

// Read reads a case. Unknown fields are errors that name the line.
func Read(r io.Reader) (Head, []Step, error) {
	var head Head
	var steps []Step
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		line := bytes.TrimSpace(sc.Bytes())
		if len(line) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(line))
		d.DisallowUnknownFields()
		var err error
		if head.Case == "" {
			err = d.Decode(&head)
			if err == nil && head.Case == "" {
				err = errors.New("the first line names no case")
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
		return head, steps, errors.New("the case is empty")
	}
	return head, steps, errors.Wrap(sc.Err(), "read case")
}

// Compare returns what of an outcome is not as stated, empty if all is.
func Compare(s Step, o Observed) string {
	if s.Expect != "" && s.Expect != o.Outcome && s.Expect != o.Code {
		return fmt.Sprintf("got %s %s, want %s", o.Outcome, o.Code, s.Expect)
	}
	if s.Total != nil && o.Outcome == "ran" && *s.Total != o.Total {
		return fmt.Sprintf("got a total of %d, want %d", o.Total, *s.Total)
	}
	return ""
}

// Replay carries out the steps and returns what was not as stated.
func Replay(ctx context.Context, steps []Step, w World) ([]string, error) {
	var wrong []string
	for i, s := range steps {
		o, err := w.Do(ctx, s)
		if err != nil {
			return wrong, errors.Wrapf(err, "step %d, %s", i+1, s.Do)
		}
		if text := Compare(s, o); text != "" {
			wrong = append(wrong, fmt.Sprintf("step %d, %s: %s", i+1, s.Do, text))
		}
	}
	return wrong, nil
}
