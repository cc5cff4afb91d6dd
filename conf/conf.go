// Package conf reads a VM's settings file. It is strict: an unknown or wrong
// field is an error with line and column, and nothing starts on half of a file.
package conf

import (
	"crypto/tls"
	"net"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Config is a VM's settings file.
type Config struct {
	VM       string `yaml:"vm"`
	Zone     string `yaml:"zone"`
	Listen   string `yaml:"listen"`   // IP and port for callers
	Peer     string `yaml:"peer"`     // IP and port for other VMs
	Admin    string `yaml:"admin"`    // IP and port for operators
	Platform string `yaml:"platform"` // base URL of the object API
	Secrets  struct {
		Peers    string `yaml:"peers"`    // shared by all VMs
		Admin    string `yaml:"admin"`    // operators' token
		User     string `yaml:"user"`     // at targets
		Password string `yaml:"password"` // at targets
	} `yaml:"secrets"`
	Connections int    `yaml:"connections"` // of this VM to one target
	DrainTime   string `yaml:"drainTime"`   // of a planned stop, such as 30s
	LogLevel    string `yaml:"logLevel"`    // debug, info, warn or error
	TLS         struct {
		Cert     string `yaml:"cert"` // PEM files
		Key      string `yaml:"key"`
		Required bool   `yaml:"required"`
	} `yaml:"tls"`
}

// Load reads and checks the file at path.
func Load(path string) (Config, error) { return Read(path, Parse) }

// Read reads a settings file whose text parse understands. Errors name the file.
func Read[T any](path string, parse func([]byte) (T, error)) (T, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, errors.Wrap(err, "settings file")
	}
	c, err := parse(raw)
	return c, errors.Wrap(err, path)
}

// Decode reads the text of a settings file into a struct. An unknown field is an
// error with line and column.
func Decode(raw []byte, into any) error {
	if err := yaml.UnmarshalWithOptions(raw, into, yaml.Strict()); err != nil {
		return errors.Newf("%s", yaml.FormatError(err, false, true))
	}
	return nil
}

// Parse reads and checks the text of a settings file.
func Parse(raw []byte) (Config, error) {
	c := Config{Connections: 6, DrainTime: "30s", LogLevel: "info"}
	if err := Decode(raw, &c); err != nil {
		return c, err
	}
	return c, c.check()
}

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
		return errors.Newf("vm: name %q must not hold a blank, # or /", c.VM)
	}
	for _, f := range []struct{ name, value string }{{"listen", c.Listen}, {"peer", c.Peer}, {"admin", c.Admin}} {
		host, _, err := net.SplitHostPort(f.value)
		if err != nil || net.ParseIP(host) == nil {
			return errors.Newf("%s: wants an IP number and a port such as 10.0.0.7:5432, got %q", f.name, f.value)
		}
	}
	if c.Connections < 1 {
		return errors.Newf("connections: wants at least 1, got %d", c.Connections)
	}
	if (c.TLS.Cert == "") != (c.TLS.Key == "") {
		return errors.New("tls: cert and key go together")
	}
	if c.TLS.Required && c.TLS.Cert == "" {
		return errors.New("tls: required wants a cert and a key")
	}
	return nil
}

// Certificate returns the TLS settings towards callers, nil for none.
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
