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

// Last bytes of the hosts' addresses.
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

// Addresses are 127.N.x.y, where y is the host. N and the high 4 bits of x are
// derived from the process ID, and the low 4 bits of x from the number of the
// deployment in this process. Test processes that run at the same time share
// addresses only if their process IDs differ by a multiple of 976 (61 * 16).
const (
	firstSecondByte = 130
	secondByteCount = 61
	halfByteValues  = 16
)

const (
	serverName = "service.test"
	// spareBalancers is how many further balancers the fabric knows that are
	// not started with the deployment.
	spareBalancers = 2
	// shutdownGrace is the shutdown grace period of balancers and agents.
	shutdownGrace = 20 * time.Second
)

// deployment is a fleet with its platform, fabric and backend servers, each in
// a process of its own.
type deployment struct {
	t         *testing.T
	is        *is.I
	network   [2]byte // second and third byte of all addresses
	dir       string
	config    *config.Config
	sheetFile string // path
	keysFile  string // path of the key ring
	cert      *testcert.Pair

	platform, fabric *process
	balancers        map[int]*process
	agents, backends []*process
}

// newDeployment starts a platform, a fabric, balancers, and agents with their
// backend servers, and waits until every balancer knows every agent. Agents and
// backend servers are assigned to the services and failure domains of the sheet
// in turn.
func newDeployment(t *testing.T, exampleFile string, balancers, agents int) *deployment {
	t.Helper()
	d := prepareDeployment(t, exampleFile)
	d.startPlatform()
	d.mustRunCommand("sheet", "apply", d.sheetFile)
	for i := range balancers {
		d.startBalancer(i)
	}
	d.startFabric(balancers)
	for i := range agents {
		d.startBackend(i)
		d.startAgent(i)
	}
	eventually(t, waitLimit, "every balancer knows every agent", func() bool { return d.hasConverged(agents) })
	return d
}

// prepareDeployment chooses the addresses and writes the files of a deployment.
// It starts no process.
func prepareDeployment(t *testing.T, exampleFile string) *deployment {
	d := &deployment{t: t, is: is.New(t), network: newNetwork(), dir: t.TempDir(), balancers: map[int]*process{}}
	d.is.NoErr(readSourceDirs())
	example, err := os.ReadFile(exampleFile)
	d.is.NoErr(err)
	sheetText := strings.ReplaceAll(string(example), "127.0.0.1:", d.host(serviceHost).String()+":")
	parsed, err := sheet.Parse([]byte(sheetText))
	d.is.NoErr(err)
	d.config, err = parsed.Apply(nil, time.Now())
	d.is.NoErr(err)
	d.cert, err = testcert.New(serverName)
	d.is.NoErr(err)
	d.sheetFile = d.writeFile("sheet.csv", sheetText)
	d.keysFile = d.writeFile("keys", "1:"+newSecret())
	d.writeFile("cert.pem", string(d.cert.CertPEM))
	d.writeFile("key.pem", string(d.cert.KeyPEM))
	return d
}

// deploymentCount is the number of deployments that this process has prepared.
var deploymentCount atomic.Int32

// newNetwork returns the second and third byte of the addresses of a
// deployment.
func newNetwork() [2]byte {
	pid := os.Getpid()
	number := int(deploymentCount.Add(1)-1) % halfByteValues
	return [2]byte{byte(firstSecondByte + pid%secondByteCount), byte(pid/secondByteCount%halfByteValues*halfByteValues + number)}
}

func newSecret() string {
	var secret [keyring.SecretSize]byte
	_, _ = rand.Read(secret[:]) // never fails
	return hex.EncodeToString(secret[:])
}

// writeFile replaces a file atomically, because processes may read it at any
// time, and returns its path.
func (d *deployment) writeFile(name, text string) string {
	path := filepath.Join(d.dir, name)
	d.is.NoErr(os.WriteFile(path+".new", []byte(text), 0o600))
	d.is.NoErr(os.Rename(path+".new", path))
	return path
}

func (d *deployment) host(lastByte int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network[0], d.network[1], byte(lastByte)})
}

func (d *deployment) address(lastByte int, port uint16) string {
	return netip.AddrPortFrom(d.host(lastByte), port).String()
}

func (d *deployment) platformURL() string { return "http://" + d.address(platformHost, platformPort) }

func (d *deployment) startPlatform() {
	d.platform = start(d.t, "platform", "standin-platform", "--listen", d.address(platformHost, platformPort))
	eventually(d.t, waitLimit, "the platform listens", func() bool {
		return strings.Contains(d.platform.out.String(), "listening")
	})
}

func (d *deployment) startFabric(balancers int) {
	var args []string
	for _, service := range d.config.Services {
		args = append(args, "--service", service.Address.String())
	}
	for i := range balancers + spareBalancers {
		host := firstBalancerHost + i
		args = append(args, "--balancer", fmt.Sprintf("%s=http://%s/healthz", d.host(host), d.address(host, opsPort)))
	}
	d.fabric = start(d.t, "fabric", "standin-fabric", args...)
	eventually(d.t, waitLimit, "the fabric is ready", func() bool {
		return strings.Contains(d.fabric.out.String(), "ready")
	})
}

// mustRunCommand runs a command of the operators' command line, fails the test
// if the command fails, and returns its output.
func (d *deployment) mustRunCommand(args ...string) string {
	d.t.Helper()
	p := d.startCommand(args...)
	if code := p.waitExit(waitLimit); code != 0 {
		d.t.Fatalf("knapweedpier %s: exit code %d", strings.Join(args, " "), code)
	}
	return p.out.String()
}

// startCommand starts a command of the operators' command line.
func (d *deployment) startCommand(args ...string) *process {
	return start(d.t, "knapweedpier", "knapweedpier", append(args, "--platform", d.platformURL())...)
}

// commonFlags returns the flags that balancers and agents have in common.
func (d *deployment) commonFlags(id string, host int, domain config.FailureDomain) []string {
	return []string{
		"--id", id,
		"--failure-domain", domain.Name, "--region", domain.Region,
		"--peer-listen", d.address(host, peerPort),
		"--ops-listen", d.address(host, opsPort),
		"--tunnel-listen", d.address(host, tunnelPort),
		"--platform", d.platformURL(),
		"--seeds", d.address(firstBalancerHost, peerPort) + "," + d.address(firstBalancerHost+1, peerPort),
		"--keyring-file", d.keysFile,
		"--log-format", "json",
		"--shutdown-grace", shutdownGrace.String(),
	}
}

func (d *deployment) domainAt(i int) config.FailureDomain {
	return d.config.Domains[i%len(d.config.Domains)]
}

func (d *deployment) serviceAt(i int) config.Service {
	return d.config.Services[i%len(d.config.Services)]
}

func (d *deployment) startBalancer(i int) {
	host := firstBalancerHost + i
	id := fmt.Sprintf("balancer-%d", i)
	args := append(d.commonFlags(id, host, d.domainAt(i)), "--bind-host", d.host(host).String())
	d.balancers[i] = start(d.t, id, "knapweedpier-balancer", args...)
}

// backendID returns the ID of backend server i, which is also its agent's.
func (d *deployment) backendID(i int) string { return fmt.Sprintf("%s-%d", d.serviceAt(i).Name, i) }

func (d *deployment) startBackend(i int) {
	service := d.serviceAt(i)
	p := start(d.t, "backend "+d.backendID(i), "standin-backend",
		"--listen", d.address(firstAgentHost+i, backendPort),
		"--id", d.backendID(i), "--service", service.Name,
		"--slots", fmt.Sprint(service.Limits.Slots), "--cold-slots", fmt.Sprint(service.Limits.ColdSlots),
		"--warm-up", service.Limits.WarmUp.String(),
		"--feed-path", service.FeedPaths[0], "--feed-interval", "100ms", "--work-mean", "100ms")
	d.backends = append(d.backends, p)
	eventually(d.t, waitLimit, "the backend server listens", func() bool {
		return strings.Contains(p.out.String(), "listening")
	})
}

// startAgent starts the agent of backend server i, or the successor of that
// agent.
func (d *deployment) startAgent(i int) *process {
	host := firstAgentHost + i
	p := start(d.t, "agent "+d.backendID(i), "knapweedpier-agent",
		append(d.commonFlags(d.backendID(i), host, d.domainAt(i)),
			"--service", d.serviceAt(i).Name,
			"--backend", d.address(host, backendPort),
			"--tls-cert-file", filepath.Join(d.dir, "cert.pem"),
			"--tls-key-file", filepath.Join(d.dir, "key.pem"))...)
	if i < len(d.agents) {
		d.agents[i] = p
	} else {
		d.agents = append(d.agents, p)
	}
	return p
}

// hasConverged reports whether all processes are healthy and every balancer has
// the given number of agents in its candidate tables.
func (d *deployment) hasConverged(agents int) bool {
	for i := range d.balancers {
		if !d.isHealthy(firstBalancerHost+i) || d.candidateCount(i) != agents {
			return false
		}
	}
	for i := range d.agents {
		if !d.isHealthy(firstAgentHost + i) {
			return false
		}
	}
	return true
}

// opsClient calls the ops endpoints of processes and the backend servers.
var opsClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}

func (d *deployment) isHealthy(host int) bool {
	resp, err := opsClient.Get("http://" + d.address(host, opsPort) + "/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// candidateCount returns how many agents are in a balancer's candidate tables,
// or -1 if it does not answer.
func (d *deployment) candidateCount(balancer int) int {
	return d.metric(firstBalancerHost+balancer, "balancer.agents")
}

// metric returns the value of a gauge or counter of a process, or -1 if the
// process doesn't answer or has no such metric.
func (d *deployment) metric(host int, name string) int {
	var metrics map[string]struct{ Value, Count *int }
	if getJSON("http://"+d.address(host, opsPort)+"/metrics", &metrics) != nil {
		return -1
	}
	switch m := metrics[name]; {
	case m.Value != nil:
		return *m.Value
	case m.Count != nil:
		return *m.Count
	default:
		return -1
	}
}

// backendLedger returns the ledger of backend server i.
func (d *deployment) backendLedger(i int) backend.Ledger {
	d.t.Helper()
	var l backend.Ledger
	d.is.NoErr(getJSON("http://"+d.address(firstAgentHost+i, backendPort)+"/ledger", &l))
	return l
}

func getJSON(url string, into any) error {
	resp, err := opsClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
