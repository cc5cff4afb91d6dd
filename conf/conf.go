// Package conf reads a VM's settings file. It is strict: an unknown field or a value of
// the wrong type is an error with line and column, so that no program starts with a
// partly understood file.
package conf

import (
	"crypto/tls"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Config holds the contents of a VM's settings file.
type Config struct {
	VM       string `yaml:"vm"`       // name of the VM
	Zone     string `yaml:"zone"`     // availability zone of the VM
	Listen   string `yaml:"listen"`   // IP address and port of the listener for callers
	Peer     string `yaml:"peer"`     // IP address and port of the listener for other VMs
	Admin    string `yaml:"admin"`    // IP address and port of the listener for operators
	Platform string `yaml:"platform"` // base URL of the platform's object API
	Secrets  struct {
		Peers    string `yaml:"peers"`    // secret shared by all VMs
		Admin    string `yaml:"admin"`    // token of operators
		User     string `yaml:"user"`     // user name at targets
		Password string `yaml:"password"` // password at targets
	} `yaml:"secrets"`
	Connections int    `yaml:"connections"` // maximum number of connections of this VM to one target
	DrainTime   string `yaml:"drainTime"`   // time for sessions to end at a planned stop, such as 30s
	LogLevel    string `yaml:"logLevel"`    // one of debug, info, warn and error
	TLS         struct {
		Cert     string `yaml:"cert"`     // path of the certificate's PEM file
		Key      string `yaml:"key"`      // path of the private key's PEM file
		Required bool   `yaml:"required"` // whether callers must use TLS
	} `yaml:"tls"`
}

// Load reads and validates the settings file at path.
func Load(path string) (Config, error) { return Read(path, Parse) }

// Read reads the settings file at path and returns the result of parse for its text.
// Errors contain the path.
func Read[T any](path string, parse func([]byte) (T, error)) (T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "settings file")
	}
	c, err := parse(raw)
	return c, errors.Wrap(err, path)
}

// Decode unmarshals the text of a settings file into the struct that dst points to. An
// unknown field is an error with line and column.
func Decode(raw []byte, dst any) error {
	if err := yaml.UnmarshalWithOptions(raw, dst, yaml.Strict()); err != nil {
		return errors.Newf("%s", yaml.FormatError(err, false, true))
	}
	return nil
}

// Parse parses and validates the text of a settings file. Missing optional fields get
// their default values.
func Parse(raw []byte) (Config, error) {
	c := Config{Connections: 6, DrainTime: "30s", LogLevel: "info"}
	if err := Decode(raw, &c); err != nil {
		return c, err
	}
	return c, c.check()
}

// check returns an error for the first invalid field.
func (c Config) check() error {
	for _, f := range []struct{ name, value string }{
		{"vm", c.VM},
		{"zone", c.Zone},
		{"platform", c.Platform},
		{"secrets.peers", c.Secrets.Peers},
		{"secrets.admin", c.Secrets.Admin},
		{"secrets.user", c.Secrets.User},
	} {
		if f.value == "" {
			return errors.Newf("field %s is missing", f.name)
		}
	}
	if strings.ContainsAny(c.VM, "#/ ") {
		return errors.Newf("vm: name %q must not contain a space, # or /", c.VM)
	}
	for _, f := range []struct{ name, value string }{{"listen", c.Listen}, {"peer", c.Peer}, {"admin", c.Admin}} {
		host, _, err := net.SplitHostPort(f.value)
		if err != nil || net.ParseIP(host) == nil {
			return errors.Newf("%s: got %q, want an IP address and a port such as 10.0.0.7:5432", f.name, f.value)
		}
	}
	if c.Connections < 1 {
		return errors.Newf("connections: got %d, want at least 1", c.Connections)
	}
	if (c.TLS.Cert == "") != (c.TLS.Key == "") {
		return errors.New("tls: cert and key must be set together")
	}
	if c.TLS.Required && c.TLS.Cert == "" {
		return errors.New("tls: required needs a cert and a key")
	}
	return nil
}

// Certificate returns the TLS configuration of the listener for callers, or nil if no
// certificate is set.
func (c Config) Certificate() (*tls.Config, error) {
	if c.TLS.Cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(c.TLS.Cert, c.TLS.Key)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}
