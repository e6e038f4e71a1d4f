package conf

import (
	"net/netip"
	"regexp"

	"jacinthworks/domain"
)

// minTokenLength is the minimum length of a caller's or operator's token in bytes;
// shorter tokens can be guessed.
const minTokenLength = 16

// hostName matches valid names of hosts. It allows no dots, because dots separate the
// parts of a request id.
var hostName = regexp.MustCompile(`^[a-z0-9]([a-z0-9_-]{0,61}[a-z0-9])?$`)

// ParseEntry reads the settings of an entry; file is the file name for findings. The
// error is check.Findings.
func ParseEntry(file string, text []byte) (Entry, error) {
	r, err := newReader(file, text)
	if err != nil {
		return Entry{}, err
	}
	e := Entry{
		Name:          domain.Host(r.name("name")),
		Zone:          domain.Zone(r.name("zone")),
		Listen:        r.listenAddr("listen", true),
		AdminListen:   r.listenAddr("admin_listen", true),
		PeerListen:    r.listenAddr("peer_listen", false),
		PeerAdvertise: r.advertised("peer_advertise"),
		Peers:         r.addrPorts("peers"),
		Platform:      r.dialAddr("platform"),
		Log:           r.log(),
		TLS:           r.tls(),
		Limits:        r.limits(),
		Timings:       r.timings(),
		Callers:       r.callers(),
		Operators:     r.operators(),
	}
	r.distinctAddrs("listen", "admin_listen", "peer_listen")
	r.distinctTokens(e)
	for _, p := range e.Peers {
		if p == e.PeerListen {
			r.add("peers", "names this entry's own peer_listen %s", p)
		}
	}
	r.unknownKeys()
	return e, r.findings.Err()
}

// ParseSide reads the settings of a side; file is the file name for findings. The error
// is check.Findings.
func ParseSide(file string, text []byte) (Side, error) {
	r, err := newReader(file, text)
	if err != nil {
		return Side{}, err
	}
	prefill, decode, app := string(domain.RolePrefill), string(domain.RoleDecode), string(domain.RoleApp)
	s := Side{
		Name:        domain.Host(r.name("name")),
		Zone:        domain.Zone(r.name("zone")),
		Role:        domain.Role(r.oneOf("role", prefill, decode, app)),
		Service:     domain.Service(r.name("service")),
		Listen:      r.listenAddr("listen", true),
		Advertise:   r.advertised("advertise"),
		Upstream:    r.dialAddr("upstream"),
		Platform:    r.dialAddr("platform"),
		AdminListen: r.listenAddr("admin_listen", false),
		TLS:         r.tls(),
		Log:         r.log(),
		Limits:      r.limits(),
		Timings:     r.timings(),
	}
	if s.Role == "" && r.value("role") == nil {
		r.add("role", "is missing")
	}
	r.distinctAddrs("listen", "admin_listen")
	r.unknownKeys()
	return s, r.findings.Err()
}

func (r *reader) log() Log {
	r.table("log")
	l := Log{
		Level:  r.oneOf("log.level", "trace", "debug", "info", "warn", "error"),
		Format: r.oneOf("log.format", "json", "text"),
	}
	orDefault(&l.Level, "info")
	orDefault(&l.Format, "json")
	return l
}

func (r *reader) tls() TLS {
	r.table("tls")
	t := TLS{CertFile: r.text("tls.cert_file"), KeyFile: r.text("tls.key_file"), CAFile: r.text("tls.ca_file")}
	if (t.CertFile == "") != (t.KeyFile == "") {
		r.add("tls", "needs both cert_file and key_file, or neither")
	}
	if t.CAFile != "" && t.CertFile == "" {
		r.add("tls.ca_file", "needs cert_file and key_file beside it")
	}
	return t
}

func (r *reader) limits() Limits {
	r.table("limits")
	return Limits{
		MaxBody:        r.integer("limits.max_body"),
		HeaderTimeout:  r.duration("limits.header_timeout"),
		ReadTimeout:    r.duration("limits.read_timeout"),
		WriteTimeout:   r.duration("limits.write_timeout"),
		IdleTimeout:    r.duration("limits.idle_timeout"),
		MaxConnections: int(r.integer("limits.max_connections")),
	}.WithDefaults()
}

func (r *reader) timings() Timings {
	r.table("timings")
	t := Timings{
		Heartbeat:        r.duration("timings.heartbeat"),
		HeartbeatTimeout: r.duration("timings.silence_after"),
		MaxTableAge:      r.duration("timings.stale_after"),
		StopTimeout:      r.duration("timings.stop_within"),
	}.WithDefaults()
	if t.HeartbeatTimeout < 2*t.Heartbeat {
		r.add("timings.silence_after", "%s is under two heartbeats of %s: one lost heartbeat would end a connection",
			t.HeartbeatTimeout, t.Heartbeat)
	}
	if t.MaxTableAge < 2*t.Heartbeat {
		r.add("timings.stale_after", "%s is under two heartbeats of %s: one lost heartbeat would stop new work",
			t.MaxTableAge, t.Heartbeat)
	}
	return t
}

func (r *reader) callers() []Caller {
	var callers []Caller
	for _, at := range r.tables("caller") {
		c := Caller{
			Account: domain.Account(r.required(at + ".account")),
			Token:   r.secret(at + ".token"),
		}
		callers = append(callers, c)
	}
	return callers
}

func (r *reader) operators() []Operator {
	var operators []Operator
	for _, at := range r.tables("operator") {
		o := Operator{
			Name:  r.required(at + ".name"),
			Token: r.secret(at + ".token"),
			Teams: r.texts(at + ".teams"),
		}
		operators = append(operators, o)
	}
	return operators
}

// distinctTokens adds a finding for each duplicate token: it would not identify a
// single account or operator, and a caller's token could give access to the
// administration address.
func (r *reader) distinctTokens(e Entry) {
	places := make(map[Secret]string)
	see := func(place string, token Secret) {
		if token == "" {
			return
		}
		if first, ok := places[token]; ok {
			r.add(place, "is the same token as %s", first)
			return
		}
		places[token] = place
	}
	for i, c := range e.Callers {
		see(elementPath("caller", i)+".token", c.Token)
	}
	for i, o := range e.Operators {
		see(elementPath("operator", i)+".token", o.Token)
	}
}

// distinctAddrs adds a finding for each two of the listen addresses at the keys that are
// equal, except for port 0, which selects any free port.
func (r *reader) distinctAddrs(keys ...string) {
	seen := make(map[netip.AddrPort]string)
	for _, k := range keys {
		text, _ := r.value(k).(string)
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			continue
		}
		if first, ok := seen[a]; ok {
			r.add(k, "is the same address as %s", first)
		}
		seen[a] = k
	}
}
