package tree

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/pollendoor/pollendoor"
)

// Duration is a time.Duration that is encoded as text, such as 500ms.
type Duration time.Duration

// UnmarshalYAML decodes a duration from text. Its errors give line and column.
func (d *Duration) UnmarshalYAML(n ast.Node) error {
	text := n.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil {
		return &yaml.SyntaxError{Message: fmt.Sprintf("must be a duration such as 500ms or 2s, got %q", text), Token: n.GetToken()}
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML encodes the duration as text.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings holds the settings of one branch. A nil field is inherited.
type Settings struct {
	// Settings of routes.
	Group   *string             `yaml:"group,omitempty"`   // database group; the route's name if unset
	Open    *bool               `yaml:"open,omitempty"`    // callers need no key
	Timeout *Duration           `yaml:"timeout,omitempty"` // maximum time of a statement
	MaxAge  *Duration           `yaml:"maxAge,omitempty"`  // maximum age of the data of reads; 0s for any age
	Ack     *pollendoor.AckRule `yaml:"ack,omitempty"`     // when a write is acknowledged

	// Settings of teams.
	Rate   *float64  `yaml:"rate,omitempty"`   // statements per second over all VMs
	Burst  *float64  `yaml:"burst,omitempty"`  // burst of statements over all VMs
	Weight *float64  `yaml:"weight,omitempty"` // share of service relative to other teams
	Batch  *bool     `yaml:"batch,omitempty"`  // statements run with batch priority
	Routes *[]string `yaml:"routes,omitempty"` // route names, or prefixes ending in /

	// Settings of keys.
	KeyStaleness *Duration `yaml:"keyStaleness,omitempty"` // age up to which key data is used without confirmation by other zones

	// Service-level objectives.
	Objective *float64  `yaml:"objective,omitempty"` // fraction of statements that must be good, between 0 and 1
	Late      *Duration `yaml:"late,omitempty"`      // latency above which a statement counts as bad
}

// Decode decodes the settings of one branch. An unknown field or an invalid value is
// an error that gives line and column.
func Decode(text []byte) (Settings, error) {
	var s Settings
	if len(bytes.TrimSpace(text)) == 0 {
		return s, nil
	}
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, errors.Newf("%s", yaml.FormatError(err, false, true))
	}
	return s, nil
}

// defaults returns the settings that the root branch inherits.
func defaults() Settings {
	timeout, maxAge, stale, late := Duration(10*time.Second), Duration(0), Duration(10*time.Second), Duration(time.Second)
	ack, open, batch := pollendoor.AckReplicated, false, false
	rate, burst, weight, objective := 100.0, 200.0, 1.0, 0.999
	routes := []string{}
	return Settings{
		Open: &open, Timeout: &timeout, MaxAge: &maxAge, Ack: &ack,
		Rate: &rate, Burst: &burst, Weight: &weight, Batch: &batch, Routes: &routes,
		KeyStaleness: &stale, Objective: &objective, Late: &late,
	}
}

// override returns a with the fields that b sets replaced by those of b.
func override(a, b Settings) Settings {
	a.Group = firstSet(b.Group, a.Group)
	a.Open = firstSet(b.Open, a.Open)
	a.Timeout = firstSet(b.Timeout, a.Timeout)
	a.MaxAge = firstSet(b.MaxAge, a.MaxAge)
	a.Ack = firstSet(b.Ack, a.Ack)
	a.Rate = firstSet(b.Rate, a.Rate)
	a.Burst = firstSet(b.Burst, a.Burst)
	a.Weight = firstSet(b.Weight, a.Weight)
	a.Batch = firstSet(b.Batch, a.Batch)
	a.Routes = firstSet(b.Routes, a.Routes)
	a.KeyStaleness = firstSet(b.KeyStaleness, a.KeyStaleness)
	a.Objective = firstSet(b.Objective, a.Objective)
	a.Late = firstSet(b.Late, a.Late)
	return a
}

// firstSet returns own unless it is nil, and otherwise inherited.
func firstSet[T any](own, inherited *T) *T {
	if own != nil {
		return own
	}
	return inherited
}

// validate returns an error for the first invalid value in resolved settings.
func validate(s Settings) error {
	switch {
	case *s.Timeout < 0:
		return errors.New("timeout must not be negative")
	case *s.MaxAge < 0:
		return errors.New("maxAge must not be negative")
	case *s.Ack != pollendoor.AckReplicated && *s.Ack != pollendoor.AckBlind:
		return errors.Newf("ack must be replicated or blind, got %q", *s.Ack)
	case *s.Rate <= 0:
		return errors.New("rate must be greater than 0")
	case *s.Burst < 1:
		return errors.New("burst must be at least 1")
	case *s.Weight <= 0:
		return errors.New("weight must be greater than 0")
	case *s.KeyStaleness < Duration(time.Second):
		return errors.New("keyStaleness must be at least 1s")
	case *s.Objective <= 0 || *s.Objective >= 1:
		return errors.New("objective must be between 0 and 1")
	}
	return nil
}
