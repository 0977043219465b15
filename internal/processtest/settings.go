package processtest

import (
	"time"

	"github.com/goccy/go-yaml"
)

// settings is the content of a node's settings file.
type settings struct {
	Node struct {
		ID         string `yaml:"id"`
		Region     string `yaml:"region"`
		DataCentre string `yaml:"dataCentre"`
	} `yaml:"node"`
	Listen struct {
		Callers   string `yaml:"callers"`
		Peers     string `yaml:"peers"`
		Targets   string `yaml:"targets"`
		Operators string `yaml:"operators"`
	} `yaml:"listen"`
	Peers    []string `yaml:"peers"`
	Platform struct {
		Address string `yaml:"address"`
		Token   string `yaml:"token"`
	} `yaml:"platform"`
	Keys struct {
		Fleet     []sharedKey `yaml:"fleet"`
		Operators []sharedKey `yaml:"operators"`
	} `yaml:"keys"`
	Trust struct {
		Authors   []trustedKey `yaml:"authors"`
		Approvers []trustedKey `yaml:"approvers"`
	} `yaml:"trust"`
	Log struct {
		Level string `yaml:"level"`
	} `yaml:"log"`
	Drain struct {
		LongestWait string `yaml:"longestWait"`
	} `yaml:"drain"`
}

type sharedKey struct {
	ID     string `yaml:"id"`
	Secret string `yaml:"secret"`
}

type trustedKey struct {
	ID        string `yaml:"id"`
	PublicKey string `yaml:"publicKey"`
}

// keys are the keys of one fleet. Each fleet has new ones.
type keys struct {
	fleet, operator    sharedKey
	author, approver   trustedKey
	authorFile         string
	approverFile       string
	platformToken      string
	operatorSecretFile string
	platformTokenFile  string
}

// nodeSettings returns the content of a node's settings file in YAML.
func (f *Fleet) nodeSettings(n *Node) ([]byte, error) {
	var s settings
	s.Node.ID, s.Node.Region, s.Node.DataCentre = n.ID, "region-1", n.DataCentre
	s.Listen.Callers = f.network.address(n.dc, n.number, callersPort)
	s.Listen.Peers = n.peersAddress
	s.Listen.Targets = f.network.address(n.dc, n.number, targetsPort)
	s.Listen.Operators = n.OperatorsAddress
	s.Peers = f.seeds
	s.Platform.Address = "http://" + n.platformAddress
	s.Platform.Token = f.keys.platformToken
	s.Keys.Fleet = []sharedKey{f.keys.fleet}
	s.Keys.Operators = []sharedKey{f.keys.operator}
	s.Trust.Authors = []trustedKey{f.keys.author}
	s.Trust.Approvers = []trustedKey{f.keys.approver}
	s.Log.Level = f.cfg.LogLevel
	s.Drain.LongestWait = time.Duration(f.cfg.LongestDrain).String()
	return yaml.Marshal(s)
}
