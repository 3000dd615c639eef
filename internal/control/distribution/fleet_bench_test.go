package distribution

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/delay"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// The fleet benchmark measures the control traffic of complete nodes on loopback.
// Records of processes that do not run fill the tables up to the wanted size,
// so that a few nodes send as much as nodes of a large fleet.

const (
	settleTime       = 6 * time.Second // until every node has chosen its partners
	steadyTime       = 8 * time.Second
	burstTime        = 8 * time.Second
	injectInterval   = 100 * time.Millisecond
	agentsPerService = 10 // agents of one service, as in the target fleet
	targetBalancers  = 630
	targetAgents     = 3300
	targetChanges    = 2400                            // planned changes of the past day and of the next
	profileDirEnv    = "KNAPWEEDPIER_CAPACITY_PROFILE" // directory for a CPU profile of each phase
)

// fleetSize is the number of running balancers and agents, and the number of
// records in the tables.
type fleetSize struct{ balancers, agents, records int }

var fleetSizes = []fleetSize{
	{8, 42, 50}, {24, 126, 150}, {48, 252, 300},
	{8, 42, 500}, {8, 42, 1500}, {8, 42, 3930},
	{8, 0, 500}, {8, 0, 1500}, {8, 0, 3930}, // to measure the memory of balancers alone
}

func (s fleetSize) String() string {
	return fmt.Sprintf("nodes=%d/records=%d", s.balancers+s.agents, s.records)
}

// changeRate returns how many records change per second while only load changes:
// load reports, held back as in SetSelf by the number of records that an agent
// holds, and one renewal every announceInterval.
func (s fleetSize) changeRate() float64 {
	agents := float64(s.records) * targetAgents / (targetAgents + targetBalancers)
	held := float64(s.records)
	if s.records > largeFleetRecords {
		held = float64(s.records) - agents + agentsPerService
	}
	return agents/(held*loadIntervalPerMember.Seconds()) + float64(s.records)/announceInterval.Seconds()
}

// traffic counts the bytes and the writes of one role on the wire, including TLS
// but not TCP and IP headers.
type traffic struct{ in, out, writes atomic.Int64 }

type trafficConn struct {
	net.Conn
	counter *traffic
}

func (c trafficConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c trafficConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	c.counter.writes.Add(1)
	return n, err
}

type trafficListener struct {
	net.Listener
	counter *traffic
}

func (l trafficListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return trafficConn{conn, l.counter}, nil
}

// benchFleet is a set of nodes on loopback whose traffic is counted by role.
type benchFleet struct {
	b       *testing.B
	size    fleetSize
	store   *fakeStore
	ring    *keyring.Ring
	seeds   []netip.AddrPort
	nodes   []*Node
	started int
	roles   map[membership.Role]*traffic
	filler  []membership.Change // records of processes that do not run, by which the tables are filled
}

func newBenchFleet(b *testing.B, size fleetSize) *benchFleet {
	// Each fleet has its own key, so that it cannot exchange records with another
	// fleet on the same machine that reuses its ports.
	var secret [keyring.SecretSize]byte
	_, _ = crand.Read(secret[:]) // never fails
	ring, err := keyring.Parse("1:" + hex.EncodeToString(secret[:]))
	if err != nil {
		b.Fatal(err)
	}
	f := &benchFleet{b: b, size: size, store: newFakeStore(), ring: ring, roles: map[membership.Role]*traffic{
		membership.RoleBalancer: {}, membership.RoleAgent: {},
	}}
	for i := range size.balancers + size.agents {
		f.start(i, f.roles[roleOf(i < size.balancers)])
	}
	f.fill()
	f.waitUntil("every node knows the balancers", func(n *Node) bool { return len(n.Board.Members.Get().Members) >= f.minKnownMembers(n) })
	return f
}

func roleOf(balancer bool) membership.Role {
	if balancer {
		return membership.RoleBalancer
	}
	return membership.RoleAgent
}

// minKnownMembers returns the least number of members that a node must know
// before the measurement starts.
func (f *benchFleet) minKnownMembers(n *Node) int {
	if n.opts.Self.Role == membership.RoleBalancer || f.size.records <= largeFleetRecords {
		return f.size.records
	}
	return f.size.records * targetBalancers / (targetBalancers + targetAgents)
}

// start adds a node whose traffic is counted in counter. The node's goroutines
// carry its role as a profiler label.
func (f *benchFleet) start(index int, counter *traffic) *Node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.b.Fatal(err)
	}
	role := roleOf(counter == f.roles[membership.RoleBalancer] || index < f.size.balancers)
	self := membership.Record{
		ID: fmt.Sprintf("%s-%05d", role, f.started), Role: role, Domain: testDomains[index%len(testDomains)],
		Region: "mauricie", State: membership.StateServing,
	}
	if role == membership.RoleAgent {
		self.Service = fmt.Sprint("service-", index/agentsPerService)
	}
	f.started++
	n := New(Options{
		Self: self, Seeds: f.seeds[:min(len(f.seeds), seedPartners)], Store: f.store,
		KeyRing: func() *keyring.Ring { return f.ring }, Listener: trafficListener{l, counter},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return trafficConn{conn, counter}, err
		},
	})
	pprof.Do(f.b.Context(), pprof.Labels("role", string(role)), func(ctx context.Context) { err = n.Start(ctx) })
	if err != nil {
		f.b.Fatal(err)
	}
	f.seeds = append(f.seeds, n.Self().Peer)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *benchFleet) close() {
	for _, n := range f.nodes {
		n.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range f.nodes {
		_ = n.server.Shutdown(ctx)
		n.wg.Wait()
		n.relay.Close()
	}
}

// fill merges records of processes that do not run into the first balancer. They
// have no peer address, so that they are not chosen as partners, and are in a
// region of their own.
func (f *benchFleet) fill() {
	missing := f.size.records - len(f.nodes)
	balancers := missing * targetBalancers / (targetBalancers + targetAgents)
	f.filler = benchRecords(max(missing, 0), 1)
	for i := range f.filler {
		r := &f.filler[i].Record
		r.Region, r.Domain, r.Peer = "gj-west", fmt.Sprint("gj-west-", i%3), netip.AddrPort{}
		r.Service = fmt.Sprint("other-", i/agentsPerService)
		if i < balancers {
			r.Role, r.Service = membership.RoleBalancer, ""
		}
	}
	f.mergeInto(f.nodes[0], f.filler)
}

// mergeInto merges changes into the table of n.
func (f *benchFleet) mergeInto(n *Node, changes []membership.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.merge(changes, n.now())
}

// changeRecords raises the sequences of count filler records, beginning with index
// from, and merges each into the table of a random balancer. Without filler
// records, random nodes raise their own sequence.
func (f *benchFleet) changeRecords(from, count int, edit func(*membership.Record)) {
	if len(f.filler) == 0 {
		for range count {
			n := f.nodes[rand.IntN(len(f.nodes))]
			n.renewLease()
		}
		return
	}
	for i := range count {
		r := &f.filler[(from+i)%len(f.filler)].Record
		r.Sequence++
		edit(r)
		f.mergeInto(f.nodes[rand.IntN(f.size.balancers)], []membership.Change{{Record: *r}})
	}
}

// inject changes rate records per second until ctx ends.
func (f *benchFleet) inject(ctx context.Context, rate float64) {
	debt, next := 0.0, 0
	for delay.Sleep(ctx, injectInterval) {
		debt += rate * injectInterval.Seconds()
		count := int(debt)
		f.changeRecords(next, count, func(r *membership.Record) { r.Flows++ })
		debt -= float64(count)
		next += count
	}
}

// waitUntil waits until cond holds at all nodes, at most a minute altogether.
func (f *benchFleet) waitUntil(what string, cond func(*Node) bool) {
	end := time.Now().Add(time.Minute)
	for _, n := range f.nodes {
		for !cond(n) {
			if time.Now().After(end) {
				f.b.Fatalf("not within a minute at %s: %s", n.Self().ID, what)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// measure reports the traffic of each role and the processor time of all nodes
// while work runs: for each node, and per second unless it is a burst.
func (f *benchFleet) measure(name string, isBurst bool, work func()) {
	before := map[membership.Role][3]int64{}
	for role, t := range f.roles {
		before[role] = t.read()
	}
	stop, peak := f.profile(name), f.samplePeakMemory()
	startTime, usedBefore := time.Now(), processorTime(f.b)
	work()
	stop()
	f.b.ReportMetric(peak()/float64(len(f.nodes)), name+"-node-peak-B")
	seconds := time.Since(startTime).Seconds()
	unit := "/s"
	if isBurst {
		seconds, unit = 1, ""
	}
	for role, t := range f.roles {
		count := f.size.balancers
		if role == membership.RoleAgent {
			count = f.size.agents
		}
		if count == 0 {
			continue
		}
		after, per := t.read(), float64(count)*seconds
		f.b.ReportMetric(float64(after[0]-before[role][0])/per, fmt.Sprintf("%s-%s-in-B%s", name, role, unit))
		f.b.ReportMetric(float64(after[1]-before[role][1])/per, fmt.Sprintf("%s-%s-out-B%s", name, role, unit))
		f.b.ReportMetric(float64(after[2]-before[role][2])/per, fmt.Sprintf("%s-%s-writes%s", name, role, unit))
	}
	spent := (processorTime(f.b) - usedBefore).Seconds() / float64(len(f.nodes)) / seconds
	f.b.ReportMetric(spent*1000, fmt.Sprintf("%s-node-cpu-ms%s", name, unit))
}

// samplePeakMemory samples the memory in use until the returned function is
// called, which returns the largest sample in bytes.
func (f *benchFleet) samplePeakMemory() (peak func() float64) {
	ctx, cancel := context.WithCancel(f.b.Context())
	result := make(chan float64)
	go func() {
		largest := 0.0
		for delay.Sleep(ctx, 20*time.Millisecond) {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			largest = max(largest, float64(m.HeapInuse+m.StackInuse))
		}
		result <- largest
	}()
	return func() float64 {
		cancel()
		return <-result
	}
}

// profile writes a CPU profile until the returned function is called. The
// profile's tags show the share of each role.
func (f *benchFleet) profile(name string) (stop func()) {
	dir := os.Getenv(profileDirEnv)
	if dir == "" {
		return func() {}
	}
	file, err := os.Create(fmt.Sprintf("%s/%d-%d-%s.prof", dir, len(f.nodes), f.size.records, name))
	if err != nil {
		f.b.Fatal(err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		f.b.Fatal(err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}
}

func (t *traffic) read() [3]int64 { return [3]int64{t.in.Load(), t.out.Load(), t.writes.Load()} }

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleet runs fleets of several sizes. See docs/CAPACITY.md for the command.
func BenchmarkFleet(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			for b.Loop() {
				f := newBenchFleet(b, size)
				f.run()
				f.close()
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (f *benchFleet) run() {
	time.Sleep(settleTime)
	f.reportMemory()
	calls := f.platformCalls()
	f.measure("idle", false, func() { time.Sleep(steadyTime) })
	f.b.ReportMetric((f.platformCalls()-calls)/steadyTime.Seconds(), "idle-platform-calls/s")
	f.measure("steady", false, func() {
		ctx, cancel := context.WithTimeout(f.b.Context(), steadyTime)
		defer cancel()
		f.inject(ctx, f.size.changeRate())
	})
	f.measure("config", true, f.distributeConfig)
	calls = f.platformCalls()
	f.measure("restart", true, f.restartDomain)
	f.b.ReportMetric(f.platformCalls()-calls, "restart-platform-calls")
	f.measureFreshHosts()
}

func (f *benchFleet) platformCalls() float64 {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return float64(f.store.calls)
}

func (f *benchFleet) reportMemory() {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	f.b.ReportMetric(float64(m.HeapAlloc+m.StackInuse)/float64(len(f.nodes)), "node-memory-B")
}

// distributeConfig puts a configuration of the target's size on the platform and
// waits until it is in force. All processes then show the new generation in their
// records, those that do not run within 2 s.
func (f *benchFleet) distributeConfig() {
	startTime := time.Now()
	c := targetConfig(targetChanges)
	c.Generation = 7
	data, err := c.Encode()
	if err != nil {
		f.b.Fatal(err)
	}
	if _, err := f.store.Put(f.b.Context(), config.ObjectKey, data, 0); err != nil {
		f.b.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		steps := int(2 * time.Second / injectInterval)
		for i := range steps {
			per := len(f.filler) / steps
			if per > 0 {
				f.changeRecords(i*per, per, func(r *membership.Record) { r.Generation = 7 })
			}
			time.Sleep(injectInterval)
		}
	})
	f.waitUntil("generation in force", func(n *Node) bool { return n.Board.View.Get().Generation == 7 })
	f.b.ReportMetric(time.Since(startTime).Seconds(), "config-in-force-s")
	wg.Wait()
	time.Sleep(burstTime - time.Since(startTime))
}

// restartDomain stops the nodes of one failure domain and starts as many new
// ones. The same share of the other records changes twice meanwhile.
func (f *benchFleet) restartDomain() {
	startTime := time.Now()
	restarted := testDomains[2]
	var wg sync.WaitGroup
	var indexes []int
	remaining := f.nodes[:0:0]
	for i, n := range f.nodes {
		if n.opts.Self.Domain != restarted {
			remaining = append(remaining, n)
			continue
		}
		indexes = append(indexes, i)
		wg.Go(func() { _ = n.Stop(f.b.Context()) })
	}
	wg.Wait()
	f.nodes = remaining
	for _, i := range indexes {
		f.start(i, f.roles[roleOf(i < f.size.balancers)])
	}
	domainRecords := len(f.filler) / len(testDomains) / 2 // a sixth of all: two regions with three domains each
	for range 2 {
		if domainRecords > 0 {
			f.changeRecords(0, domainRecords, func(r *membership.Record) { r.Incarnation++ })
		}
		time.Sleep(time.Second)
	}
	f.waitUntil("replacements know the configuration", func(n *Node) bool { return n.Board.View.Get().Generation == 7 })
	f.b.ReportMetric(time.Since(startTime).Seconds(), "restart-caught-up-s")
	time.Sleep(burstTime - time.Since(startTime))
}

// measureFreshHosts starts one balancer and one agent and reports what they
// receive until they know the configuration and all members they need.
func (f *benchFleet) measureFreshHosts() {
	for _, balancer := range []bool{true, false} {
		counter, startTime := &traffic{}, time.Now()
		index := 0
		if !balancer {
			index = f.size.balancers
		}
		n := f.start(index, counter)
		want := f.minKnownMembers(n)
		for n.Board.View.Get().Generation != 7 || len(n.Board.Members.Get().Members) < want {
			time.Sleep(time.Millisecond)
		}
		name := "fresh-" + string(n.opts.Self.Role)
		f.b.ReportMetric(time.Since(startTime).Seconds(), name+"-s")
		f.b.ReportMetric(float64(counter.in.Load()), name+"-in-B")
	}
}

// targetConfig returns a configuration of 340 services with planned changes.
func targetConfig(changes int) *config.Config {
	c := &config.Config{Generation: 1200, ChangeID: "c1200", AcceptedAt: time.Now()}
	for i, name := range slices.Concat(testDomains, []string{"gj-west-0", "gj-west-1", "gj-west-2"}) {
		c.Domains = append(c.Domains, config.FailureDomain{Name: name, Region: []string{"mauricie", "gj-west"}[i/3], Index: uint8(i)})
	}
	for i := range 340 {
		c.Services = append(c.Services, config.Service{
			Name: fmt.Sprint("service-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 443),
			Limits: config.Limits{Slots: 9, Connections: 2000, ColdSlots: 2, WarmUp: 30 * time.Second}, RequestTimeout: time.Second,
		})
	}
	for i := range changes {
		c.Changes = append(c.Changes, config.PlannedChange{
			ID: fmt.Sprintf("sheet-%06x", i*7919), Kind: config.Leave, Subject: fmt.Sprintf("comptoir-%04d", i),
			Service: fmt.Sprint("service-", i%340), At: time.Now().Add(time.Hour + time.Duration(i)*time.Second), Generation: 7,
		})
	}
	return c
}

// BenchmarkConfigSize measures the size of the configuration and the cost of
// parsing it by the number of planned changes in it.
func BenchmarkConfigSize(b *testing.B) {
	for _, changes := range []int{100, 400, 1200, 2400} {
		data, err := targetConfig(changes).Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "json-B")
		})
	}
}
