package fleet

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/conf"
	"github.com/pollendoor/pollendoor/quota"
)

// Settings is the settings file of a VM on the platform.
type Settings struct {
	VM       string  `yaml:"vm"`
	Zone     string  `yaml:"zone"`
	Region   string  `yaml:"region"`
	Callers  string  `yaml:"callers"`  // IP and port for callers
	Ready    string  `yaml:"ready"`    // IP and port for readiness probes
	IP       string  `yaml:"ip"`       // of this VM
	PeerPort int     `yaml:"peerPort"` // for other VMs: heartbeats by UDP, work by TCP
	Metrics  string  `yaml:"metrics"`  // IP and port for counters and histograms
	Store    string  `yaml:"store"`    // IP and port of the metadata store
	Cloud    string  `yaml:"cloud"`    // IP and port for promotions
	MemoryMB int64   `yaml:"memoryMB"` // limit of the process
	CPU      float64 `yaml:"cpu"`      // share of a core that this VM has
	LogLevel string  `yaml:"logLevel"` // debug, info, warn or error
	// Bootstrap says that the whole fleet starts for the first time.
	Bootstrap bool `yaml:"bootstrap"`
	// Seeds are addresses, IP and port, of some VMs, which may be gone: they are asked
	// for the duty holder when the store does not answer at the start. Only the IP
	// counts.
	Seeds []string `yaml:"seeds"`

	// Zones gives the region of each availability zone.
	Zones map[string]string `yaml:"zones"`

	GraceS       float64 `yaml:"graceS"`       // of a planned stop, seconds
	QuotaWindowS float64 `yaml:"quotaWindowS"` // in which a team's limit is counted, seconds
	QuotaExcess  float64 `yaml:"quotaExcess"`  // tolerated part of a team's limit
	QuotaMargin  float64 `yaml:"quotaMargin"`  // tolerated operations
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) { return conf.Read(path, Parse) }

// Parse reads and checks the text of a settings file. An unknown field is an
// error with line and column.
func Parse(raw []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	if err := conf.Decode(raw, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"vm", s.VM}, {"zone", s.Zone}, {"region", s.Region}, {"ip", s.IP},
	} {
		if f.value == "" {
			return errors.Newf("%s is missing", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.Callers}, {"ready", s.Ready}, {"store", s.Store}, {"cloud", s.Cloud}, {"metrics", s.Metrics},
	} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return errors.Wrapf(err, "%s", f.name)
		}
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return errors.Wrap(err, "seeds")
		}
	}
	if s.PeerPort <= 0 || s.PeerPort > 65535 {
		return errors.Newf("peerPort: %d is no port", s.PeerPort)
	}
	if s.CPU <= 0 {
		return errors.Newf("cpu: %g is no share of a core", s.CPU)
	}
	if s.GraceS <= 0 {
		return errors.Newf("graceS: %g s is no time for a planned stop", s.GraceS)
	}
	return nil
}

// Grace returns the time of a planned stop.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceS * float64(time.Second)) }

// slack returns what may be admitted beyond a team's limit.
func (s *Settings) slack() quota.Tolerance {
	return quota.Tolerance{
		Window: time.Duration(s.QuotaWindowS * float64(time.Second)),
		Excess: s.QuotaExcess, Margin: s.QuotaMargin,
	}
}
