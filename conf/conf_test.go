package conf_test

import (
	"strings"
	"testing"

	"github.com/pollendoor/pollendoor/conf"
)

const validSettings = `vm: vm-a1
zone: a
listen: 127.0.0.1:5432
peer: 127.0.0.1:7000
admin: 127.0.0.1:7001
platform: http://127.0.0.1:8080
secrets:
  peers: sixteen-letters-or-more
  admin: operators
  user: system
`

func TestParse(t *testing.T) {
	if _, err := conf.Parse([]byte(validSettings)); err != nil {
		t.Errorf("valid settings: got error %v, want none", err)
	}
	tests := []struct{ old, new, want string }{
		{"zone: a", "zome: a", "[2:1] unknown field"},
		{"127.0.0.1:5432", "localhost:5432", "listen: got \"localhost:5432\", want an IP address and a port"},
		{"zone: a", "zone: ''", "field zone is missing"},
		{"vm: vm-a1", "connections: many\nvm: x", "[1:"},
		{"vm: vm-a1", "tls:\n  cert: a.pem\nvm: x", "cert and key must be set together"},
	}
	for _, tc := range tests {
		_, err := conf.Parse([]byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: got error %v, want one that contains %q", tc.new, err, tc.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(_ *testing.T, text string) { conf.Parse([]byte(text)) })
}
