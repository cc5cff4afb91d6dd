package fleet

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/conf"
	"github.com/pollendoor/pollendoor/quota"
)

// Settings holds the contents of a VM's settings file on the platform.
type Settings struct {
	VM       string  `yaml:"vm"`       // name of this VM
	Zone     string  `yaml:"zone"`     // availability zone of this VM
	Region   string  `yaml:"region"`   // region of the zone
	Callers  string  `yaml:"callers"`  // IP and port for callers
	Ready    string  `yaml:"ready"`    // IP and port for readiness probes
	IP       string  `yaml:"ip"`       // IP address of this VM
	PeerPort int     `yaml:"peerPort"` // port for other VMs: heartbeats over UDP, statements over TCP
	Metrics  string  `yaml:"metrics"`  // IP and port for counters and histograms
	Store    string  `yaml:"store"`    // IP and port of the metadata store
	Cloud    string  `yaml:"cloud"`    // IP and port for promotions
	MemoryMB int64   `yaml:"memoryMB"` // memory limit of the process in MiB, 0 for none
	CPU      float64 `yaml:"cpu"`      // number of CPU cores, may be a fraction
	LogLevel string  `yaml:"logLevel"` // debug, info, warn or error
	// Bootstrap is true if the whole fleet starts for the first time.
	Bootstrap bool `yaml:"bootstrap"`
	// Seeds lists the addresses of some VMs as IP and port; the port is ignored. They
	// are asked for the record if the store does not answer when this VM starts. Some
	// of them may no longer exist.
	Seeds []string `yaml:"seeds"`

	// Zones maps each availability zone to its region.
	Zones map[string]string `yaml:"zones"`

	GraceS       float64 `yaml:"graceS"`       // duration of a planned stop in seconds
	QuotaWindowS float64 `yaml:"quotaWindowS"` // window in which a team's limit is counted, in seconds
	QuotaExcess  float64 `yaml:"quotaExcess"`  // tolerated excess as a fraction of a team's allowance in the window
	QuotaMargin  float64 `yaml:"quotaMargin"`  // tolerated excess as a number of operations, in addition to the fraction
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) { return conf.Read(path, Parse) }

// Parse reads and checks the text of a settings file. An unknown field is an error
// that gives line and column.
func Parse(raw []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	if err := conf.Decode(raw, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// check returns an error for the first invalid field.
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
		return errors.Newf("peerPort: got %d, want 1 to 65535", s.PeerPort)
	}
	if s.CPU <= 0 {
		return errors.Newf("cpu: got %g cores, want more than 0", s.CPU)
	}
	if s.GraceS <= 0 {
		return errors.Newf("graceS: got %g s, want more than 0 s", s.GraceS)
	}
	return nil
}

// Grace returns the duration of a planned stop.
func (s *Settings) Grace() time.Duration { return time.Duration(s.GraceS * float64(time.Second)) }

// tolerance returns what all VMs together may admit beyond a team's limit.
func (s *Settings) tolerance() quota.Tolerance {
	return quota.Tolerance{
		Window: time.Duration(s.QuotaWindowS * float64(time.Second)),
		Excess: s.QuotaExcess, Margin: s.QuotaMargin,
	}
}
