//go:build linux

package processtest

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/embedded/testcert"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
	"github.com/knapweedpier/knapweedpier/standin/backend"
)

// Sheets of the two deployments.
const (
	gelDesk          = "../../../examples/gel-desk.csv"
	invoiceNumbering = "../../../examples/invoice-numbering.csv"
)

// Last numbers of the hosts' addresses.
const (
	serviceHost       = 1
	platformHost      = 2
	firstBalancerHost = 10
	firstAgentHost    = 30
)

// Ports on each host.
const (
	tunnelPort   = 9000
	peerPort     = 9001
	opsPort      = 9002
	backendPort  = 9003
	platformPort = 9004
)

// Address plan: 127.N.x.y, with N and the high half of x from the process ID,
// and the low half of x from the number of the site in this process.
const (
	firstNetwork = 130
	networks     = 61
	blocks       = 16
)

const (
	serverName = "service.test"
	// spareBalancers are known to the fabric without being started.
	spareBalancers = 2
	// grace is the shutdown grace of all processes.
	grace = 20 * time.Second
)

// site is one deployment in separate processes.
type site struct {
	t       *testing.T
	is      *is.I
	network [2]byte // second and third number of all addresses
	dir     string
	config  *config.Config
	sheet   string // file
	keys    string // file
	cert    *testcert.Pair

	platform, fabric *process
	balancers        map[int]*process
	agents, backends []*process
}

// newSite starts a deployment with a platform, a fabric, balancers, and agents
// with backend servers over the services and failure domains of the sheet in
// turn, and waits until the balancers know the agents.
func newSite(t *testing.T, sheetFile string, balancers, agents int) *site {
	t.Helper()
	s := layOut(t, sheetFile)
	s.startPlatform()
	s.operate("sheet", "apply", s.sheet)
	for i := range balancers {
		s.startBalancer(i)
	}
	s.startFabric(balancers)
	for i := range agents {
		s.startBackend(i)
		s.startAgent(i)
	}
	eventually(t, patience, "every balancer knows every agent", func() bool { return s.known(agents) })
	return s
}

// layOut prepares files and addresses.
func layOut(t *testing.T, sheetFile string) *site {
	s := &site{t: t, is: is.New(t), network: nextNetwork(), dir: t.TempDir(), balancers: map[int]*process{}}
	s.is.NoErr(visitSources())
	text, err := os.ReadFile(sheetFile)
	s.is.NoErr(err)
	own := strings.ReplaceAll(string(text), "127.0.0.1:", s.host(serviceHost).String()+":")
	parsed, err := sheet.Parse([]byte(own))
	s.is.NoErr(err)
	s.config, err = parsed.Apply(nil, time.Now())
	s.is.NoErr(err)
	s.cert, err = testcert.New(serverName)
	s.is.NoErr(err)
	s.sheet = s.write("sheet.csv", own)
	s.keys = s.write("keys", "1:"+newSecret())
	s.write("cert.pem", string(s.cert.CertPEM))
	s.write("key.pem", string(s.cert.KeyPEM))
	return s
}

var sites atomic.Int32

func nextNetwork() [2]byte {
	pid := os.Getpid()
	number := int(sites.Add(1)-1) % blocks
	return [2]byte{byte(firstNetwork + pid%networks), byte(pid/networks%blocks*blocks + number)}
}

func newSecret() string {
	var secret [keyring.SecretSize]byte
	_, _ = rand.Read(secret[:]) // never fails
	return hex.EncodeToString(secret[:])
}

// write replaces a file in one step, as readers may read it at any time.
func (s *site) write(name, text string) string {
	path := filepath.Join(s.dir, name)
	s.is.NoErr(os.WriteFile(path+".new", []byte(text), 0o600))
	s.is.NoErr(os.Rename(path+".new", path))
	return path
}

func (s *site) host(y int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network[0], s.network[1], byte(y)})
}

func (s *site) at(y int, port uint16) string {
	return netip.AddrPortFrom(s.host(y), port).String()
}

func (s *site) platformURL() string { return "http://" + s.at(platformHost, platformPort) }

func (s *site) startPlatform() {
	s.platform = start(s.t, "platform", "standin-platform", "--listen", s.at(platformHost, platformPort))
	eventually(s.t, patience, "the platform listens", func() bool {
		return strings.Contains(s.platform.out.String(), "listening")
	})
}

func (s *site) startFabric(balancers int) {
	var args []string
	for _, service := range s.config.Services {
		args = append(args, "--service", service.Address.String())
	}
	for i := range balancers + spareBalancers {
		host := firstBalancerHost + i
		args = append(args, "--balancer", fmt.Sprintf("%s=http://%s/healthz", s.host(host), s.at(host, opsPort)))
	}
	s.fabric = start(s.t, "fabric", "standin-fabric", args...)
	eventually(s.t, patience, "the fabric is ready", func() bool {
		return strings.Contains(s.fabric.out.String(), "ready")
	})
}

// operate runs a command of the operators' program, which must succeed, and
// returns its output.
func (s *site) operate(args ...string) string {
	s.t.Helper()
	p := s.command(args...)
	if code := p.exit(patience); code != 0 {
		s.t.Fatalf("knapweedpier %s: exit code %d", strings.Join(args, " "), code)
	}
	return p.out.String()
}

func (s *site) command(args ...string) *process {
	return start(s.t, "knapweedpier", "knapweedpier", append(args, "--platform", s.platformURL())...)
}

// common are the settings of a balancer or an agent.
func (s *site) common(id string, host int, domain config.FailureDomain) []string {
	return []string{
		"--id", id,
		"--failure-domain", domain.Name, "--region", domain.Region,
		"--peer-listen", s.at(host, peerPort),
		"--ops-listen", s.at(host, opsPort),
		"--tunnel-listen", s.at(host, tunnelPort),
		"--platform", s.platformURL(),
		"--seeds", s.at(firstBalancerHost, peerPort) + "," + s.at(firstBalancerHost+1, peerPort),
		"--keyring-file", s.keys,
		"--log-format", "json",
		"--shutdown-grace", grace.String(),
	}
}

func (s *site) domain(i int) config.FailureDomain {
	return s.config.Domains[i%len(s.config.Domains)]
}

func (s *site) service(i int) config.Service {
	return s.config.Services[i%len(s.config.Services)]
}

func (s *site) startBalancer(i int) {
	host := firstBalancerHost + i
	id := fmt.Sprintf("balancer-%d", i)
	args := append(s.common(id, host, s.domain(i)), "--bind-host", s.host(host).String())
	s.balancers[i] = start(s.t, id, "knapweedpier-balancer", args...)
}

// backendID is the ID of a backend server and of its agent.
func (s *site) backendID(i int) string { return fmt.Sprintf("%s-%d", s.service(i).Name, i) }

func (s *site) startBackend(i int) {
	service := s.service(i)
	p := start(s.t, "backend "+s.backendID(i), "standin-backend",
		"--listen", s.at(firstAgentHost+i, backendPort),
		"--id", s.backendID(i), "--service", service.Name,
		"--slots", fmt.Sprint(service.Limits.Slots), "--cold-slots", fmt.Sprint(service.Limits.ColdSlots),
		"--warm-up", service.Limits.WarmUp.String(),
		"--feed-path", service.FeedPaths[0], "--feed-interval", "100ms", "--work-mean", "100ms")
	s.backends = append(s.backends, p)
	eventually(s.t, patience, "the backend server listens", func() bool {
		return strings.Contains(p.out.String(), "listening")
	})
}

// startAgent starts the agent beside backend server i, or its successor.
func (s *site) startAgent(i int) *process {
	host := firstAgentHost + i
	p := start(s.t, "agent "+s.backendID(i), "knapweedpier-agent",
		append(s.common(s.backendID(i), host, s.domain(i)),
			"--service", s.service(i).Name,
			"--backend", s.at(host, backendPort),
			"--tls-cert-file", filepath.Join(s.dir, "cert.pem"),
			"--tls-key-file", filepath.Join(s.dir, "key.pem"))...)
	if i < len(s.agents) {
		s.agents[i] = p
	} else {
		s.agents = append(s.agents, p)
	}
	return p
}

// known reports whether all processes are healthy and every balancer has the
// given number of agents in its candidate tables.
func (s *site) known(agents int) bool {
	for i := range s.balancers {
		if !s.healthy(firstBalancerHost+i) || s.candidates(i) != agents {
			return false
		}
	}
	for i := range s.agents {
		if !s.healthy(firstAgentHost + i) {
			return false
		}
	}
	return true
}

var operators = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}

func (s *site) healthy(host int) bool {
	resp, err := operators.Get("http://" + s.at(host, opsPort) + "/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// candidates returns how many agents are in a balancer's candidate tables, or
// -1 if it does not answer.
func (s *site) candidates(balancer int) int {
	return s.metric(firstBalancerHost+balancer, "balancer.agents")
}

// metric returns a gauge or counter of a process, or -1 if there is none.
func (s *site) metric(host int, name string) int {
	var all map[string]struct{ Value, Count *int }
	if getJSON("http://"+s.at(host, opsPort)+"/metrics", &all) != nil {
		return -1
	}
	switch m := all[name]; {
	case m.Value != nil:
		return *m.Value
	case m.Count != nil:
		return *m.Count
	default:
		return -1
	}
}

// ledger returns what a backend server saw.
func (s *site) ledger(i int) backend.Ledger {
	s.t.Helper()
	var l backend.Ledger
	s.is.NoErr(getJSON("http://"+s.at(firstAgentHost+i, backendPort)+"/ledger", &l))
	return l
}

func getJSON(url string, into any) error {
	resp, err := operators.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
