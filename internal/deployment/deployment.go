package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"bambooferry.example/bambooferry/internal/peer"
	"bambooferry.example/bambooferry/internal/platform"
	"bambooferry.example/bambooferry/internal/server"
	"bambooferry.example/bambooferry/internal/standin/engine"
	standinplatform "bambooferry.example/bambooferry/internal/standin/platform"
	"bambooferry.example/bambooferry/internal/standin/service"
	"bambooferry.example/bambooferry/pkg/blackboard"
	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/generation"
	"bambooferry.example/bambooferry/pkg/timeline"
	"bambooferry.example/bambooferry/pkg/version"
)

// Names and the API key that every deployment is set up with.
const (
	ModelName   = "ferry-llm"
	ServiceName = "pitch-app"
	APIKey      = "key-of-workspace-0"
	DataCentre  = "scot-central-1"
)

// Config describes the deployment to start.
type Config struct {
	Instances int
	Engines   int
	Services  int
	// EngineTemplate provides the settings of every engine.
	EngineTemplate *engine.Engine
	Limits         server.Limits
	// Events receives the events of all instances; it may be nil.
	Events io.Writer
	// PrepareInstance, if set, may modify an instance before it runs.
	PrepareInstance func(in *Instance)
	// EventsFor, if set, returns the writer for the events of one instance and replaces Events.
	EventsFor func(id string) io.Writer
	// LocalAdmission makes each instance enforce limits by its own counts only, as the baseline of measurements.
	LocalAdmission bool
	// RoutingPolicy names the policy that chooses targets; empty selects the default.
	RoutingPolicy string
	// SlotTimes holds the timing of slots and the roster; the zero value selects the defaults.
	SlotTimes server.SlotTimes
	// EditCatalogue, if set, modifies the catalogue before it is published.
	EditCatalogue func(*catalogue.Document)
	// VersionLimits replaces the default limits of version changes if its KeepWarm is above 0.
	VersionLimits version.Limits
	// StoreFor, if set, wraps the key-value client of one instance.
	StoreFor func(i int, c *platform.Client) (server.Store, server.Leaser)
}

// Deployment is a running deployment.
type Deployment struct {
	Config    Config
	Platform  *standinplatform.Service
	Engines   []*engine.Engine
	Services  []*service.Service
	Instances []*Instance
	Catalogue *catalogue.Document

	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	address netip.AddrPort
	version int64

	// mu guards Instances and the cut links.
	mu   sync.Mutex
	cuts map[[2]*Instance]bool
}

// Instance is one running instance with the means to kill it.
type Instance struct {
	*server.Server
	cancel context.CancelFunc
	stop   context.CancelFunc
	// Network is the instance's part in the calls between instances.
	Network *peer.Network
	Slots   *server.Slots
	queue   *server.SlotAdmitter
	links   links
	cut     chan struct{}
	cuts    cuts
	once    sync.Once
	done    chan struct{}
	gate    gate
}

// DefaultEngine returns an engine template that is quick enough for a demo.
func DefaultEngine() *engine.Engine {
	return &engine.Engine{
		Model: ModelName, Versions: []string{"v1"}, Slots: 8, MaxRequests: 16,
		FirstToken: 40 * time.Millisecond, TokenInterval: 10 * time.Millisecond,
		Linger: 5 * time.Second, Retention: 30 * time.Second, CacheBlocks: 1024, Seed: 1,
	}
}

// Start starts a deployment on free loopback ports and waits until it is ready.
func Start(ctx context.Context, p Config) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{Config: p, Platform: &standinplatform.Service{}, ctx: ctx, cancel: cancel}
	if err := d.startPlatform(); err != nil {
		d.Close()
		return nil, err
	}
	d.startTargets()
	d.Catalogue = d.document()
	if p.EditCatalogue != nil {
		p.EditCatalogue(d.Catalogue)
	}
	if err := d.PutCatalogue(d.Catalogue); err != nil {
		d.Close()
		return nil, err
	}
	for i := range p.Instances {
		if err := d.startInstance(i); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, d.waitReady()
}

// Close ends everything and waits for it.
func (d *Deployment) Close() {
	d.cancel()
	d.group.Wait()
	for _, in := range d.Instances {
		in.Client.CloseIdleConnections()
	}
}

func (d *Deployment) startPlatform() error {
	ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start platform")
	}
	d.address = ln.Addr().(*net.TCPAddr).AddrPort()
	s := &http.Server{Handler: d.Platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	d.group.Go(func() { _ = s.Serve(ln) })
	d.group.Go(func() { <-d.ctx.Done(); _ = s.Close() })
	return nil
}

func (d *Deployment) startTargets() {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for i := range d.Config.Engines {
		t := d.Config.EngineTemplate
		e := &engine.Engine{
			Listen: loopback, Model: t.Model, Versions: t.Versions, Slots: t.Slots, MaxRequests: t.MaxRequests,
			FirstToken: t.FirstToken, TokenInterval: t.TokenInterval, Noise: t.Noise, Linger: t.Linger, Retention: t.Retention,
			CacheBlocks: t.CacheBlocks, Seed: t.Seed + uint64(i),
			Orders: engine.Orders{LoadTime: t.Orders.LoadTime, Store: t.Orders.Store},
		}
		d.Engines = append(d.Engines, e)
		d.group.Go(func() { _ = e.Run(d.ctx) })
	}
	for range d.Config.Services {
		s := &service.Service{Listen: loopback, Version: "v1", MaxCalls: 64}
		d.Services = append(d.Services, s)
		d.group.Go(func() { _ = s.Run(d.ctx) })
	}
}

// document returns the first revision of the catalogue.
func (d *Deployment) document() *catalogue.Document {
	model := catalogue.Entry{
		Name: ModelName, Owner: "assistant team", Kind: catalogue.Model, Class: catalogue.Interactive,
		Limits:  catalogue.Limits{InProgress: 10_000, Queue: 1000, Deadline: catalogue.Duration(5 * time.Minute), BodyBytes: 1 << 20, Tokens: 1 << 20},
		Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
	}
	for i, e := range d.Engines {
		model.Targets = append(model.Targets, catalogue.Target{
			Name: fmt.Sprintf("engine-%d", i), Address: e.Address(), DataCentre: DataCentre, Version: "v1", Slots: d.Config.EngineTemplate.Slots,
		})
	}
	booking := catalogue.Entry{
		Name: ServiceName, Owner: "booking team", Kind: catalogue.Service, Class: catalogue.Interactive,
		Limits:  catalogue.Limits{InProgress: 1000, Queue: 100, Deadline: catalogue.Duration(10 * time.Second), BodyBytes: 1 << 20},
		Version: "v1", Versions: []catalogue.Version{{Name: "v1"}},
	}
	for i, s := range d.Services {
		booking.Targets = append(booking.Targets, catalogue.Target{
			Name: fmt.Sprintf("service-%d", i), Address: s.Address(), DataCentre: DataCentre, Version: "v1", Slots: 32,
		})
	}
	doc := &catalogue.Document{Format: catalogue.FormatVersion, Revision: 1, Entries: []catalogue.Entry{model, booking}}
	for i := range 10 {
		doc.Workspaces = append(doc.Workspaces, catalogue.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), KeySHA256: catalogue.HashKey(fmt.Sprintf("key-of-workspace-%d", i)), Weight: 1, InProgress: 10_000,
		})
	}
	return doc
}

// KeyValueClient returns a client of the key-value service.
func (d *Deployment) KeyValueClient() *platform.Client {
	return &platform.Client{Address: d.address, HTTP: &http.Client{}, Timeout: 2 * time.Second}
}

// PutCatalogue validates a revision of the catalogue and writes it to the key-value service.
func (d *Deployment) PutCatalogue(doc *catalogue.Document) error {
	if err := doc.Check(); err != nil {
		return err
	}
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	d.version, err = d.KeyValueClient().CompareAndSwap(d.ctx, server.CatalogueKey, d.version, data)
	return err
}

// AddInstance starts one more instance with the given number, which may be that of an instance that has ended.
func (d *Deployment) AddInstance(i int) (*Instance, error) {
	if err := d.startInstance(i); err != nil {
		return nil, err
	}
	return d.Instances[len(d.Instances)-1], nil
}

func (d *Deployment) startInstance(i int) error {
	in, err := d.newInstance(i, "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.Instances = append(d.Instances, in)
	d.mu.Unlock()
	return d.runInstance(in)
}

// newInstance makes an instance that other instances reach at an address.
func (d *Deployment) newInstance(i int, at string) (*Instance, error) {
	ln, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	peers, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", at)
	if err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	in := &Instance{cut: make(chan struct{}), done: make(chan struct{})}
	in.links = links{deployment: d, owner: in}
	in.Network = &peer.Network{
		Listener: &admittingListener{in.links.listener(peers), &in.gate}, DialTimeout: time.Second,
		Dial: in.gate.dialer(in.cuttable(in.dialer(in.links.dialPeer))),
	}
	in.Server = &server.Server{
		ID: fmt.Sprintf("instance-%d", i), Incarnation: time.Now().UnixNano(), DataCentre: DataCentre, Listener: ln,
		Store:  in.store(d),
		Signer: generation.CursorSigner{Keys: [][]byte{[]byte("demo-cursor-key-0123456789abcdef")}},
		Board:  blackboard.New(), Log: zerolog.Nop(), Limits: d.Config.Limits,
		Client: in.client(), Metrics: metrics.NewSet(),
		Peers: in.Network, PeerAddress: in.Network.Address(), Lister: d.KeyValueClient(),
	}
	in.Events = &timeline.Writer{Out: in.output(d.Config), Instance: in.ID, Incarnation: in.Incarnation, Clock: &timeline.Clock{}}
	in.Versions = server.NewVersions(in.Server, d.KeyValueClient())
	if p := d.Config.StoreFor; p != nil {
		in.Store, in.Versions.Leases = p(i, d.KeyValueClient())
	}
	in.Versions.Limits = d.Config.versionLimits()
	if err := d.limit(in); err != nil {
		return nil, errors.Wrap(err, "start instance")
	}
	if d.Config.PrepareInstance != nil {
		d.Config.PrepareInstance(in)
	}
	return in, nil
}

func (d *Deployment) runInstance(in *Instance) error {
	if err := in.InitMembership(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	d.Platform.Register(platform.ListedInstance{ID: in.ID, Address: in.PeerAddress, DataCentre: in.DataCentre, Incarnation: in.Incarnation})
	ctx, cancel := context.WithCancel(d.ctx)
	stop, stopped := context.WithCancel(ctx)
	in.cancel, in.stop = cancel, stopped
	d.group.Go(func() { _ = in.Network.Run(ctx) })
	if in.Slots != nil {
		d.group.Go(func() { _ = in.Slots.Run(ctx) })
		d.group.Go(func() { _ = in.Pools.Run(ctx) })
		d.group.Go(func() { _ = in.queue.Run(ctx) })
	}
	d.group.Go(func() { _ = in.RunMembership(ctx) })
	d.group.Go(func() { _ = in.FollowCatalogue(ctx) })
	d.group.Go(func() { _ = in.Versions.Run(ctx) })
	d.group.Go(func() {
		defer close(in.done)
		_ = in.Run(ctx, stop)
		in.closeEvents()
	})
	return nil
}

// client returns an HTTP client whose connections all end when the instance is killed.
func (in *Instance) client() *http.Client {
	c := server.NewClient(time.Second)
	t := c.Transport.(*http.Transport)
	t.DialContext = in.dialer(in.links.gated(t.DialContext))
	return c
}

type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// dialer wraps dial so that it fails once the instance is killed.
func (in *Instance) dialer(dial dialer) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-in.cut:
			return nil, net.ErrClosed
		default:
			return dial(ctx, network, address)
		}
	}
}

// Kill ends the instance as a crash would: targets are not told. When it returns, the instance
// takes no connection and all links to targets and other instances are closed.
func (in *Instance) Kill() {
	in.once.Do(func() {
		close(in.cut)
		in.links.deployment.Platform.Unregister(in.ID)
		in.cancel()
		_ = in.Network.Listener.Close()
		_ = in.Listener.Close()
		in.links.closeAll()
		in.Client.CloseIdleConnections()
	})
}

// Stop asks the instance for a graceful stop and returns a channel that closes at its end.
func (in *Instance) Stop() <-chan struct{} {
	in.stop()
	return in.done
}

// AddressesFrom returns the addresses of all instances in order, starting at index first and wrapping around.
func (d *Deployment) AddressesFrom(first int) []netip.AddrPort {
	var list []netip.AddrPort
	for i := range d.Instances {
		list = append(list, d.Instances[(first+i)%len(d.Instances)].Address())
	}
	return list
}

const readyWait = 5 * time.Second

func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyWait)
	for _, in := range d.Instances {
		for !in.Ready() || in.Slots != nil && !in.Slots.NoReleasesPending() {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready", in.ID)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}
