package loader

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
	"time"
)

// TLS configures mutual TLS between the processes of the cell. Certificate, Key and
// Authority are files and are required if Mutual is on.
type TLS struct {
	Mutual      Switch `ini:"mutual"`
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
	Authority   string `ini:"authority"`
}

// Log configures the log.
type Log struct {
	Level string `ini:"level"`
}

// Control holds the settings of samphirewick-control.
type Control struct {
	Member   ControlMember   `ini:"member"`
	Log      Log             `ini:"log"`
	TLS      TLS             `ini:"tls"`
	Leases   Leases          `ini:"leases"`
	Journal  ControlJournal  `ini:"journal"`
	Election ControlElection `ini:"election"`
	Cell     Cell            `ini:"cell"`
	Platform Platform        `ini:"platform"`
	Limits   ControlLimits   `ini:"limits"`

	Interference Interference `ini:"interference"`
	Clients      Clients      `ini:"clients"`
}

// Interference configures what is done about tasks that slow each other down on one
// worker.
type Interference struct {
	// Avoid is on if the leader learns which tasks do so, and starts them on different
	// workers where there is room.
	Avoid Switch `ini:"avoid"`
}

// Cell configures a cell whose members found it and join it by themselves. Without
// seeds, an operator formats the data folders and adds the members.
type Cell struct {
	// Seeds are the addresses of some members. Port replaces their port if it is set.
	Seeds []string `ini:"seeds"`
	// Port is the port of every member; zero keeps the ports of Seeds.
	Port int `ini:"port"`
	// Founding is on if the cell has not existed before, so that the seeds found it.
	Founding Switch `ini:"founding"`
	// Tolerated is how many voters may fail at once. The cell has 2*Tolerated+1 voters.
	Tolerated int `ini:"tolerated"`
}

// SeedAddresses returns the addresses at which the seeds accept calls.
func (c Cell) SeedAddresses() []string { return withPort(c.Seeds, c.Port) }

// withPort returns the addresses with their port replaced, or unchanged if port is
// zero.
func withPort(addresses []string, port int) []string {
	replaced := make([]string, len(addresses))
	for i, a := range addresses {
		replaced[i] = a
		if host, _, err := net.SplitHostPort(a); err == nil && port > 0 {
			replaced[i] = net.JoinHostPort(host, strconv.Itoa(port))
		}
	}
	return replaced
}

// Platform holds the addresses of the platform adapter. An empty address turns off
// its server, or its client in the case of PolicyService.
type Platform struct {
	// Front is the listen address for callers, to which the platform's load balancer
	// connects.
	Front string `ini:"front"`
	// Ready is the listen address for the load balancer's readiness probe.
	Ready string `ini:"ready"`
	// Control is the listen address for workers and operators.
	Control string `ini:"control"`
	// PolicyService is the address of the policy service.
	PolicyService string `ini:"advice"`
}

// ControlLimits bounds the resources of a control process.
type ControlLimits struct {
	// MemoryMegabytes bounds the memory of the process; zero means no bound.
	MemoryMegabytes int `ini:"memoryMegabytes"`
	// Descriptors is how many file descriptors the process may open; zero means unknown.
	Descriptors int `ini:"descriptors"`
}

// ControlMember holds the name, the addresses and the data folder of a member.
type ControlMember struct {
	// Name is the prefix of the generated member ID.
	Name string `ini:"name"`
	// Address is where other processes of the cell reach the member.
	Address string `ini:"address"`
	// Listen is where it listens for them, if that is not Address, such as behind address
	// translation. It may be empty.
	Listen string `ini:"listen"`
	// Admin is the listen address for health checks and metrics.
	Admin string `ini:"admin"`
	// DataFolder holds the identity, the replicated log and the snapshots. It may be
	// empty if the cell has seeds: the process is then a gateway and not a member.
	DataFolder string `ini:"dataFolder"`
}

// Leases configures leases and how long records are kept.
type Leases struct {
	Worker          time.Duration `ini:"worker"`
	Entry           time.Duration `ini:"entry"`
	RenewInterval   time.Duration `ini:"renew"`
	KeepLostWorkers time.Duration `ini:"forget"`
	// Longest is the longest lease that a worker which takes its orders by call grants; it
	// shortens a longer one. Lost work is started again the later the longer it is.
	Longest time.Duration `ini:"longest"`
	// LateOrders is how long after it was given up an order to such a worker may be carried out.
	LateOrders time.Duration `ini:"lateOrders"`
	// KeepJobs is how long an ended job is kept in the state.
	KeepJobs time.Duration `ini:"keepJobs"`
	// KeepJobsLeast is how long an ended job is kept while accepted work takes more than half
	// of its memory; zero means KeepJobs.
	KeepJobsLeast time.Duration `ini:"keepJobsLeast"`
}

// ControlJournal configures the journal. SnapshotEvery and KeepEntries count log
// entries.
type ControlJournal struct {
	SnapshotEvery int `ini:"snapshotEvery"`
	KeepEntries   int `ini:"keepEntries"`
	// ReserveMegabytes is the free disk space below which work is refused.
	ReserveMegabytes int `ini:"reserveMegabytes"`
}

// ControlElection configures leader elections.
type ControlElection struct {
	Timeout   time.Duration `ini:"timeout"`
	Heartbeat time.Duration `ini:"heartbeat"`
}

// Entry holds the settings of samphirewick-entry.
type Entry struct {
	Instance EntryInstance `ini:"instance"`
	Log      Log           `ini:"log"`
	TLS      TLS           `ini:"tls"`
	Control  EntryControl  `ini:"control"`
	Callers  EntryCallers  `ini:"callers"`
	Limits   EntryLimits   `ini:"limits"`
	Clients  Clients       `ini:"clients"`
	Platform Platform      `ini:"platform"`
}

// EntryInstance holds the name, the data centre, the addresses and the drain times
// of an entry.
type EntryInstance struct {
	Name       string `ini:"name"`
	DataCentre string `ini:"dataCentre"`
	// Listen is the listen address for callers, backend servers and operators.
	Listen string `ini:"listen"`
	// Address is where the entry listens for other processes of the cell.
	Address string `ini:"address"`
	// Admin is the listen address for health checks and metrics.
	Admin string `ini:"admin"`
	// DrainDelay is how long a draining entry reports that it is not ready before it
	// refuses connections, so that the load balancer can notice.
	DrainDelay time.Duration `ini:"drainDelay"`
	// DrainTimeout bounds the wait for the requests in flight.
	DrainTimeout time.Duration `ini:"drainTimeout"`
}

// EntryControl configures how an entry reaches control.
type EntryControl struct {
	Addresses []string `ini:"addresses"`
	// Port replaces the port of Addresses; zero keeps their ports.
	Port int `ini:"port"`
	// Cell is the only cell that the entry accepts. If empty, the entry accepts the
	// first cell that answers and no other afterwards.
	Cell string `ini:"cell"`
}

// EntryCallers configures authentication of callers and TLS towards them.
type EntryCallers struct {
	Authentication Switch `ini:"authentication"`
	// Credentials is the credentials file, required if authentication is on.
	Credentials string `ini:"credentials"`
	// Certificate and Key are files. If set, callers connect by TLS.
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
}

// EntryLimits bounds requests, connections and memory of an entry.
type EntryLimits struct {
	BodyKilobytes   int           `ini:"bodyKilobytes"`
	HeaderKilobytes int           `ini:"headerKilobytes"`
	Connections     int           `ini:"connections"`
	Requests        int           `ini:"requests"`
	ReadTimeout     time.Duration `ini:"readTimeout"`
	// MemoryMegabytes bounds the memory of the process; zero means no bound.
	MemoryMegabytes int `ini:"memoryMegabytes"`
	// Descriptors is how many file descriptors the process may open; zero means unknown.
	Descriptors int `ini:"descriptors"`
}

// MemberAddresses returns the addresses at which members of control accept calls.
func (c EntryControl) MemberAddresses() []string { return withPort(c.Addresses, c.Port) }

// LoadControl reads and validates the settings of samphirewick-control.
func LoadControl(path string) (Control, error) {
	s := defaultControl()
	err := load(path, &s)
	return s, err
}

// LoadEntry reads and validates the settings of samphirewick-entry.
func LoadEntry(path string) (Entry, error) {
	s := defaultEntry()
	err := load(path, &s)
	return s, err
}

func defaultControl() Control {
	return Control{
		Log: Log{Level: "info"},
		Leases: Leases{
			Worker:          5 * time.Second,
			Entry:           2 * time.Second,
			RenewInterval:   time.Second,
			KeepLostWorkers: time.Minute,
			Longest:         10 * time.Second,
			LateOrders:      12 * time.Second,
			KeepJobs:        24 * time.Hour,
		},
		Journal:  ControlJournal{SnapshotEvery: 20000, KeepEntries: 5000, ReserveMegabytes: 64},
		Election: ControlElection{Timeout: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond},

		Interference: Interference{Avoid: SwitchOff},
		Clients:      defaultClients(),
	}
}

func defaultEntry() Entry {
	return Entry{
		Log: Log{Level: "info"},
		Instance: EntryInstance{
			DrainDelay:   2 * time.Second,
			DrainTimeout: time.Minute,
		},
		Limits: EntryLimits{
			BodyKilobytes:   1024,
			HeaderKilobytes: 32,
			Connections:     4096,
			Requests:        4096,
			ReadTimeout:     30 * time.Second,
		},
		Clients: defaultClients(),
	}
}

func (s *Control) validate() error {
	return firstError(
		requireText("member", "name", s.Member.Name),
		requireAddress("member", "address", s.Member.Address),
		s.Member.validateListen(),
		requireAddress("member", "admin", s.Member.Admin),
		s.requireDataFolder(),
		validateLevel(s.Log),
		validateTLS(s.TLS),
		requireAtLeast("leases", "worker", s.Leases.Worker, 2*s.Leases.RenewInterval),
		requireAtLeast("leases", "entry", s.Leases.Entry, time.Second),
		requireAtLeast("leases", "renew", s.Leases.RenewInterval, 100*time.Millisecond),
		requireAtLeast("leases", "longest", s.Leases.Longest, 3*time.Second),
		requireAtLeast("leases", "lateOrders", s.Leases.LateOrders, 0),
		requireAtLeast("leases", "keepJobs", s.Leases.KeepJobs, time.Minute),
		requireAtLeast("leases", "keepJobsLeast", s.Leases.KeepJobsLeast, 0),
		requireWithin("journal", "snapshotEvery", s.Journal.SnapshotEvery, 10, 10000000),
		requireWithin("journal", "keepEntries", s.Journal.KeepEntries, 0, s.Journal.SnapshotEvery),
		requireWithin("journal", "reserveMegabytes", s.Journal.ReserveMegabytes, 0, 1000000),
		requireAtLeast("election", "heartbeat", s.Election.Heartbeat, 10*time.Millisecond),
		requireAtLeast("election", "timeout", s.Election.Timeout, 3*s.Election.Heartbeat),
		s.Cell.validate(),
		s.Platform.validate(),
		requireWithin("limits", "memoryMegabytes", s.Limits.MemoryMegabytes, 0, 1000000),
		requireWithin("limits", "descriptors", s.Limits.Descriptors, 0, maxDescriptors),
		s.Clients.validate(),
	)
}

// ListenAddress returns the address at which the process listens for other processes.
func (m ControlMember) ListenAddress() string { return cmp.Or(m.Listen, m.Address) }

func (m ControlMember) validateListen() error {
	if m.Listen == "" {
		return nil
	}
	return requireAddress("member", "listen", m.Listen)
}

// IsGateway reports whether the process has no data folder, so that it keeps no
// state and is not a member.
func (s *Control) IsGateway() bool { return s.Member.DataFolder == "" }

func (s *Control) requireDataFolder() error {
	if len(s.Cell.Seeds) > 0 {
		return nil
	}
	return requireText("member", "dataFolder", s.Member.DataFolder)
}

func (s *Entry) validate() error {
	return firstError(
		requireText("instance", "name", s.Instance.Name),
		requireText("instance", "dataCentre", s.Instance.DataCentre),
		requireAddress("instance", "listen", s.Instance.Listen),
		requireAddress("instance", "address", s.Instance.Address),
		requireAddress("instance", "admin", s.Instance.Admin),
		requireAtLeast("instance", "drainDelay", s.Instance.DrainDelay, 0),
		requireAtLeast("instance", "drainTimeout", s.Instance.DrainTimeout, time.Second),
		validateLevel(s.Log),
		validateTLS(s.TLS),
		requireAddresses("control", "addresses", s.Control.Addresses),
		validateCallers(s.Callers),
		requireWithin("limits", "bodyKilobytes", s.Limits.BodyKilobytes, 1, 65536),
		requireWithin("limits", "headerKilobytes", s.Limits.HeaderKilobytes, 1, 1024),
		requireWithin("limits", "connections", s.Limits.Connections, 1, 100000),
		requireWithin("limits", "requests", s.Limits.Requests, 1, 100000),
		requireAtLeast("limits", "readTimeout", s.Limits.ReadTimeout, time.Second),
		requireWithin("limits", "memoryMegabytes", s.Limits.MemoryMegabytes, 0, 1000000),
		requireWithin("limits", "descriptors", s.Limits.Descriptors, 0, maxDescriptors),
		s.Clients.validate(),
		requireWithin("control", "port", s.Control.Port, 0, maxPort),
		s.Platform.validate(),
	)
}

const (
	maxPort        = 65535
	maxDescriptors = 10000000
)

func (c Cell) validate() error {
	if len(c.Seeds) == 0 {
		return nil
	}
	if c.Founding != SwitchOn && c.Founding != SwitchOff {
		return settingError("cell", "founding", "missing; say on or off")
	}
	return firstError(
		requireAddresses("cell", "seeds", c.Seeds),
		requireWithin("cell", "port", c.Port, 0, maxPort),
		requireWithin("cell", "tolerated", c.Tolerated, 0, 10),
	)
}

func (p Platform) validate() error {
	addresses := []struct{ key, address string }{
		{"front", p.Front}, {"ready", p.Ready}, {"control", p.Control}, {"advice", p.PolicyService},
	}
	for _, a := range addresses {
		if a.address == "" {
			continue
		}
		if err := requireAddress("platform", a.key, a.address); err != nil {
			return err
		}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func requireText(section, key, text string) error {
	if text == "" {
		return settingError(section, key, "missing")
	}
	return nil
}

func requireAddress(section, key, address string) error {
	if address == "" {
		return settingError(section, key, "missing")
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return settingError(section, key, err.Error())
	}
	if net.ParseIP(host) == nil {
		return settingError(section, key, "the host of "+address+" is not an IP number")
	}
	return nil
}

func requireAddresses(section, key string, addresses []string) error {
	if len(addresses) == 0 {
		return settingError(section, key, "missing")
	}
	for _, address := range addresses {
		if err := requireAddress(section, key, address); err != nil {
			return err
		}
	}
	return nil
}

func requireAtLeast(section, key string, duration, minimum time.Duration) error {
	if duration < minimum {
		return settingError(section, key, duration.String()+" is shorter than "+minimum.String())
	}
	return nil
}

func requireWithin(section, key string, number, minimum, maximum int) error {
	if number < minimum || number > maximum {
		return settingError(section, key, fmt.Sprintf("%d is not within %d and %d", number, minimum, maximum))
	}
	return nil
}

func validateLevel(l Log) error {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return settingError("log", "level", "is none of debug, info, warn, error")
	}
}

func validateTLS(t TLS) error {
	if t.Mutual == "" {
		return settingError("tls", "mutual", "missing; say on, or off to go without")
	}
	if !t.Mutual.IsOn() {
		return nil
	}
	return firstError(
		requireText("tls", "certificate", t.Certificate),
		requireText("tls", "key", t.Key),
		requireText("tls", "authority", t.Authority),
	)
}

func validateCallers(c EntryCallers) error {
	if c.Authentication == "" {
		return settingError("callers", "authentication", "missing; say on, or off to go without")
	}
	if c.Authentication.IsOn() && c.Credentials == "" {
		return settingError("callers", "credentials", "missing while authentication is on")
	}
	if (c.Certificate == "") != (c.Key == "") {
		return settingError("callers", "key", "certificate and key go together")
	}
	return nil
}
