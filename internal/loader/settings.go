package loader

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// TLS are the settings for mutual TLS between the processes of the cell.
type TLS struct {
	Mutual      Switch `ini:"mutual"`
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
	Authority   string `ini:"authority"`
}

// Log are the settings of the log.
type Log struct {
	Level string `ini:"level"`
}

// Control are the settings of samphirewick-control.
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
}

// Cell are the settings of a cell that founds and repairs itself; without
// seeds, an operator formats data folders and adds members.
type Cell struct {
	// Seeds are addresses of some members, whatever their port.
	Seeds []string `ini:"seeds"`
	// Port is that of every member, and replaces the port of Seeds.
	Port int `ini:"port"`
	// Founding says that the cell has not existed before, so that the seeds found it.
	Founding Switch `ini:"founding"`
	// Tolerated is how many members may be lost at once; twice as many and one vote.
	Tolerated int `ini:"tolerated"`
}

// Addresses returns the addresses at which the seeds take calls.
func (c Cell) Addresses() []string { return withPort(c.Seeds, c.Port) }

// withPort replaces the port of each address.
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

// Platform are the addresses of the adapter to the platform; what is empty is off.
type Platform struct {
	// Front is where the platform's balancer sends callers.
	Front string `ini:"front"`
	// Ready is where the balancer asks whether the instance takes callers.
	Ready string `ini:"ready"`
	// Control is where workers and operators call.
	Control string `ini:"control"`
	// Advice is the address of the policy service.
	Advice string `ini:"advice"`
}

// ControlLimits bound what a member uses.
type ControlLimits struct {
	// MemoryMegabytes bounds the process; zero for no bound.
	MemoryMegabytes int `ini:"memoryMegabytes"`
}

// ControlMember says where a member is.
type ControlMember struct {
	// Name is part of the id that a format draws.
	Name string `ini:"name"`
	// Address is where other processes of the cell reach the member.
	Address string `ini:"address"`
	// Admin is where health and metrics are served.
	Admin string `ini:"admin"`
	// DataFolder holds the identity, the log and the snapshots. Where the cell has
	// seeds it may be empty: the process then is a gateway and no member.
	DataFolder string `ini:"dataFolder"`
}

// Leases are the settings of what is granted for a time.
type Leases struct {
	Worker time.Duration `ini:"worker"`
	Entry  time.Duration `ini:"entry"`
	Renew  time.Duration `ini:"renew"`
	Forget time.Duration `ini:"forget"`
	// KeepJobs is how long an ended job is remembered.
	KeepJobs time.Duration `ini:"keepJobs"`
}

// ControlJournal are the settings of the journal.
type ControlJournal struct {
	SnapshotEvery int `ini:"snapshotEvery"`
	KeepEntries   int `ini:"keepEntries"`
	// ReserveMegabytes is the room on the disk below which work is refused.
	ReserveMegabytes int `ini:"reserveMegabytes"`
}

// ControlElection are the settings of elections.
type ControlElection struct {
	Timeout   time.Duration `ini:"timeout"`
	Heartbeat time.Duration `ini:"heartbeat"`
}

// Entry are the settings of samphirewick-entry.
type Entry struct {
	Instance EntryInstance `ini:"instance"`
	Log      Log           `ini:"log"`
	TLS      TLS           `ini:"tls"`
	Control  EntryControl  `ini:"control"`
	Callers  EntryCallers  `ini:"callers"`
	Limits   EntryLimits   `ini:"limits"`
	Platform Platform      `ini:"platform"`
}

// EntryInstance says where an entry is.
type EntryInstance struct {
	Name       string `ini:"name"`
	DataCentre string `ini:"dataCentre"`
	// Listen is where callers, backend servers and operators reach the entry.
	Listen string `ini:"listen"`
	// Address is where other entries reach it.
	Address string `ini:"address"`
	// Admin is where health and metrics are served.
	Admin string `ini:"admin"`
	// DrainDelay is how long the entry shows itself as not ready before it
	// refuses connections, so that the balancer can see it.
	DrainDelay time.Duration `ini:"drainDelay"`
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration `ini:"drainTimeout"`
}

// EntryControl says where control is.
type EntryControl struct {
	Addresses []string `ini:"addresses"`
	// Port, where it is set, replaces the port of Addresses.
	Port int `ini:"port"`
	// Cell pins the cell that the entry belongs to; empty takes the first one.
	Cell string `ini:"cell"`
}

// EntryCallers are the settings of how callers are identified.
type EntryCallers struct {
	Authentication Switch `ini:"authentication"`
	// Credentials is the file of credentials, needed where authentication is on.
	Credentials string `ini:"credentials"`
	// Certificate and Key turn on TLS towards callers.
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
}

// EntryLimits bound what callers may bring.
type EntryLimits struct {
	BodyKilobytes   int           `ini:"bodyKilobytes"`
	HeaderKilobytes int           `ini:"headerKilobytes"`
	Connections     int           `ini:"connections"`
	Requests        int           `ini:"requests"`
	ReadTimeout     time.Duration `ini:"readTimeout"`
	// MemoryMegabytes bounds the process; zero for no bound.
	MemoryMegabytes int `ini:"memoryMegabytes"`
}

// Members returns the addresses at which members of control take calls.
func (c EntryControl) Members() []string { return withPort(c.Addresses, c.Port) }

// LoadControl reads the settings of samphirewick-control.
func LoadControl(path string) (Control, error) {
	s := defaultControl()
	err := load(path, &s)
	return s, err
}

// LoadEntry reads the settings of samphirewick-entry.
func LoadEntry(path string) (Entry, error) {
	s := defaultEntry()
	err := load(path, &s)
	return s, err
}

func defaultControl() Control {
	return Control{
		Log: Log{Level: "info"},
		Leases: Leases{
			Worker:   5 * time.Second,
			Entry:    2 * time.Second,
			Renew:    time.Second,
			Forget:   time.Minute,
			KeepJobs: 24 * time.Hour,
		},
		Journal:  ControlJournal{SnapshotEvery: 20000, KeepEntries: 5000, ReserveMegabytes: 64},
		Election: ControlElection{Timeout: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond},
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
	}
}

func (s *Control) validate() error {
	return firstError(
		needText("member", "name", s.Member.Name),
		needAddress("member", "address", s.Member.Address),
		needAddress("member", "admin", s.Member.Admin),
		s.needDataFolder(),
		checkLevel(s.Log),
		checkTLS(s.TLS),
		needAtLeast("leases", "worker", s.Leases.Worker, 2*s.Leases.Renew),
		needAtLeast("leases", "entry", s.Leases.Entry, time.Second),
		needAtLeast("leases", "renew", s.Leases.Renew, 100*time.Millisecond),
		needAtLeast("leases", "keepJobs", s.Leases.KeepJobs, time.Minute),
		needWithin("journal", "snapshotEvery", s.Journal.SnapshotEvery, 10, 10000000),
		needWithin("journal", "keepEntries", s.Journal.KeepEntries, 0, s.Journal.SnapshotEvery),
		needWithin("journal", "reserveMegabytes", s.Journal.ReserveMegabytes, 0, 1000000),
		needAtLeast("election", "heartbeat", s.Election.Heartbeat, 10*time.Millisecond),
		needAtLeast("election", "timeout", s.Election.Timeout, 3*s.Election.Heartbeat),
		s.Cell.validate(),
		s.Platform.validate(),
		needWithin("limits", "memoryMegabytes", s.Limits.MemoryMegabytes, 0, 1000000),
	)
}

// IsGateway reports whether the process keeps no state, for want of a disk.
func (s *Control) IsGateway() bool { return s.Member.DataFolder == "" }

func (s *Control) needDataFolder() error {
	if len(s.Cell.Seeds) > 0 {
		return nil
	}
	return needText("member", "dataFolder", s.Member.DataFolder)
}

func (s *Entry) validate() error {
	return firstError(
		needText("instance", "name", s.Instance.Name),
		needText("instance", "dataCentre", s.Instance.DataCentre),
		needAddress("instance", "listen", s.Instance.Listen),
		needAddress("instance", "address", s.Instance.Address),
		needAddress("instance", "admin", s.Instance.Admin),
		needAtLeast("instance", "drainDelay", s.Instance.DrainDelay, 0),
		needAtLeast("instance", "drainTimeout", s.Instance.DrainTimeout, time.Second),
		checkLevel(s.Log),
		checkTLS(s.TLS),
		needAddresses("control", "addresses", s.Control.Addresses),
		checkCallers(s.Callers),
		needWithin("limits", "bodyKilobytes", s.Limits.BodyKilobytes, 1, 65536),
		needWithin("limits", "headerKilobytes", s.Limits.HeaderKilobytes, 1, 1024),
		needWithin("limits", "connections", s.Limits.Connections, 1, 100000),
		needWithin("limits", "requests", s.Limits.Requests, 1, 100000),
		needAtLeast("limits", "readTimeout", s.Limits.ReadTimeout, time.Second),
		needWithin("limits", "memoryMegabytes", s.Limits.MemoryMegabytes, 0, 1000000),
		needWithin("control", "port", s.Control.Port, 0, maxPort),
		s.Platform.validate(),
	)
}

const maxPort = 65535

func (c Cell) validate() error {
	if len(c.Seeds) == 0 {
		return nil
	}
	if c.Founding != SwitchOn && c.Founding != SwitchOff {
		return fault("cell", "founding", "missing; say on or off")
	}
	return firstError(
		needAddresses("cell", "seeds", c.Seeds),
		needWithin("cell", "port", c.Port, 0, maxPort),
		needWithin("cell", "tolerated", c.Tolerated, 0, 10),
	)
}

func (p Platform) validate() error {
	addresses := []struct{ key, address string }{
		{"front", p.Front}, {"ready", p.Ready}, {"control", p.Control}, {"advice", p.Advice},
	}
	for _, a := range addresses {
		if a.address == "" {
			continue
		}
		if err := needAddress("platform", a.key, a.address); err != nil {
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

func needText(section, key, text string) error {
	if text == "" {
		return fault(section, key, "missing")
	}
	return nil
}

func needAddress(section, key, address string) error {
	if address == "" {
		return fault(section, key, "missing")
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fault(section, key, err.Error())
	}
	if net.ParseIP(host) == nil {
		return fault(section, key, "the host of "+address+" is not an IP number")
	}
	return nil
}

func needAddresses(section, key string, addresses []string) error {
	if len(addresses) == 0 {
		return fault(section, key, "missing")
	}
	for _, address := range addresses {
		if err := needAddress(section, key, address); err != nil {
			return err
		}
	}
	return nil
}

func needAtLeast(section, key string, duration, least time.Duration) error {
	if duration < least {
		return fault(section, key, duration.String()+" is shorter than "+least.String())
	}
	return nil
}

func needWithin(section, key string, number, low, high int) error {
	if number < low || number > high {
		return fault(section, key, fmt.Sprintf("%d is not within %d and %d", number, low, high))
	}
	return nil
}

func checkLevel(l Log) error {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return fault("log", "level", "is none of debug, info, warn, error")
	}
}

func checkTLS(t TLS) error {
	if t.Mutual == "" {
		return fault("tls", "mutual", "missing; say on, or off to go without")
	}
	if !t.Mutual.IsOn() {
		return nil
	}
	return firstError(
		needText("tls", "certificate", t.Certificate),
		needText("tls", "key", t.Key),
		needText("tls", "authority", t.Authority),
	)
}

func checkCallers(c EntryCallers) error {
	if c.Authentication == "" {
		return fault("callers", "authentication", "missing; say on, or off to go without")
	}
	if c.Authentication.IsOn() && c.Credentials == "" {
		return fault("callers", "credentials", "missing while authentication is on")
	}
	if (c.Certificate == "") != (c.Key == "") {
		return fault("callers", "key", "certificate and key go together")
	}
	return nil
}
