package conf_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/check"
	"jacinthworks/conf"
	"jacinthworks/domain"
)

const goodEntry = `name = "entry-1"
zone = "salt-lake"
listen = "127.0.0.1:8000"
admin_listen = "127.0.0.1:8001"
platform = "127.0.0.1:7000"
`

const goodSide = `name = "side-1"
zone = "salt-lake"
role = "decode"
service = "appraiser-lm"
listen = "127.0.0.1:8000"
upstream = "127.0.0.1:8001"
platform = "127.0.0.1:7000"
`

func TestParseEntryFillsInDefaults(t *testing.T) {
	e, err := conf.ParseEntry("entry.toml", []byte(goodEntry))
	require.NoError(t, err)
	require.Equal(t, domain.Zone("salt-lake"), e.Zone)
	require.Equal(t, netip.MustParseAddrPort("127.0.0.1:8000"), e.Listen)
	require.Equal(t, conf.Log{Level: "info", Format: "json"}, e.Log)
	require.Equal(t, conf.Limits{}.WithDefaults(), e.Limits)
	require.Equal(t, 200*time.Millisecond, e.Timings.Heartbeat)
}

func TestParseEntryReadsEachSetting(t *testing.T) {
	e, err := conf.ParseEntry("entry.toml", []byte(goodEntry+`
peer_listen = "[::1]:8002"
peers = ["127.0.0.1:8012", "127.0.0.1:8022"]
tls = {cert_file = "c", key_file = "k"}
[log]
level = "debug"
format = "text"
[limits]
max_body = 100
write_timeout = "1s"
[timings]
heartbeat = "100ms"
stop_within = "1m"
[[caller]]
account = "stud"
token = "caller-token-0123"
[[operator]]
name = "asha"
token = "operator-token-01"
teams = ["appraisal", "listing"]
`))
	require.NoError(t, err)
	require.Len(t, e.Peers, 2)
	require.Equal(t, conf.TLS{CertFile: "c", KeyFile: "k"}, e.TLS)
	require.Equal(t, int64(100), e.Limits.MaxBody)
	require.Equal(t, time.Second, e.Limits.WriteTimeout)
	require.Equal(t, time.Minute, e.Timings.StopTimeout)
	require.Equal(t, []conf.Caller{{Account: "stud", Token: "caller-token-0123"}}, e.Callers)
	require.Equal(t, []string{"appraisal", "listing"}, e.Operators[0].Teams)
}

func TestParseSideReadsRoleAndService(t *testing.T) {
	s, err := conf.ParseSide("side.toml", []byte(goodSide))
	require.NoError(t, err)
	require.Equal(t, domain.RoleDecode, s.Role)
	require.Equal(t, domain.Service("appraiser-lm"), s.Service)
	require.False(t, s.AdminListen.IsValid())
}

// invalidFiles lists invalid files with the findings that each must produce, verbatim and
// in order.
var invalidFiles = []struct {
	name     string
	side     bool
	text     string
	findings []string
}{
	{"syntax error", false, "name = \"entry-1\"\nzone = \n", []string{
		`f.toml:2: not TOML: unexpected character U+000A at start of value`}},
	{"empty file", false, "", []string{
		"f.toml name: is missing", "f.toml zone: is missing", "f.toml listen: is missing",
		"f.toml admin_listen: is missing", "f.toml platform: is missing"}},
	{"unknown keys", false, goodEntry + "colour = 1\n[logs]\nlevel = \"info\"\n[log]\nlevl = \"info\"\n", []string{
		"f.toml:6 colour: unknown key", "f.toml:7 logs: unknown key", "f.toml:10 log.levl: unknown key"}},
	{"unknown key in an inline table", false, goodEntry + "tls = {cert_file = \"c\", key_file = \"k\", pin = 1}\n", []string{
		"f.toml:6 tls.pin: unknown key"}},
	{"several wrong types", false, goodEntry + "peers = \"127.0.0.1:1\"\n[limits]\nmax_body = \"big\"\nidle_timeout = 5\n", []string{
		"f.toml:6 peers: must be a list of texts, not text",
		"f.toml:8 limits.max_body: must be a whole number, not text",
		"f.toml:9 limits.idle_timeout: must be a text in quotes, not a whole number"}},
	{"several invalid values", false, goodEntry + "peers = [\"localhost:1\", \"127.0.0.1:0\"]\n[log]\nlevel = \"loud\"\n[timings]\nheartbeat = \"soon\"\nstop_within = \"-1s\"\n", []string{
		`f.toml:6 peers[0]: not an IP address and port: "localhost:1"`,
		"f.toml:6 peers[1]: needs a port: 127.0.0.1:0",
		`f.toml:8 log.level: must be one of trace, debug, info, warn, error, not "loud"`,
		"f.toml:10 timings.heartbeat: not a duration such as \"250ms\" or \"1m30s\": \"soon\"",
		"f.toml:11 timings.stop_within: must not be negative: -1s"}},
	{"heartbeat interval too long for its timeouts", false, goodEntry + "[timings]\nheartbeat = \"2s\"\n", []string{
		"f.toml:6 timings.silence_after: 800ms is under two heartbeats of 2s: one lost heartbeat would end a connection",
		"f.toml:6 timings.stale_after: 3s is under two heartbeats of 2s: one lost heartbeat would stop new work"}},
	{"TLS certificate without key", false, goodEntry + "[tls]\ncert_file = \"c\"\n", []string{
		"f.toml:6 tls: needs both cert_file and key_file, or neither"}},
	{"duplicate address", false, goodEntry + "peer_listen = \"127.0.0.1:8000\"\npeers = [\"127.0.0.1:8000\"]\n", []string{
		"f.toml:6 peer_listen: is the same address as listen",
		"f.toml:7 peers: names this entry's own peer_listen 127.0.0.1:8000"}},
	{"short, duplicate and missing tokens", false, goodEntry + `[[caller]]
account = "a"
token = "short"
[[caller]]
account = "b"
token = "a-long-enough-token"
[[operator]]
name = "asha"
token = "a-long-enough-token"
[[operator]]
name = ""
`, []string{
		"f.toml:8 caller[0].token: is shorter than 16 characters",
		"f.toml:16 operator[1].name: is empty",
		"f.toml:15 operator[1].token: is missing",
		"f.toml:14 operator[0].token: is the same token as caller[1].token"}},
	{"caller and operator of wrong types", false, goodEntry + "caller = [1]\noperator = 2\n", []string{
		"f.toml:6 caller[0]: must be a table",
		"f.toml:7 operator: must be an array of tables: write [[operator]]"}},
	{"dot in a name", false, "name = \"entry.1\"\nzone = \"\"\nlisten = \"127.0.0.1:8000\"\nadmin_listen = \"127.0.0.1:8001\"\nplatform = \"127.0.0.1:0\"\n", []string{
		`f.toml:1 name: must be 1 to 63 of a-z, 0-9, - and _, with a letter or digit at both ends: "entry.1"`,
		"f.toml:2 zone: is empty",
		"f.toml:5 platform: needs a port: 127.0.0.1:0"}},
	{"side with a key of an entry", true, goodSide + "peers = []\n", []string{
		"f.toml:8 peers: unknown key"}},
	{"side without role and with an invalid upstream", true, "name = \"side-1\"\nzone = \"z\"\nservice = \"s\"\nlisten = \"127.0.0.1:0\"\nupstream = \"engine:80\"\nplatform = \"127.0.0.1:1\"\n", []string{
		`f.toml:5 upstream: not an IP address and port: "engine:80"`,
		"f.toml role: is missing"}},
}

func TestParseInvalidFileReturnsEveryFinding(t *testing.T) {
	for _, c := range invalidFiles {
		t.Run(c.name, func(t *testing.T) {
			var err error
			if c.side {
				_, err = conf.ParseSide("f.toml", []byte(c.text))
			} else {
				_, err = conf.ParseEntry("f.toml", []byte(c.text))
			}
			var found check.Findings
			require.ErrorAs(t, err, &found)
			var lines []string
			for _, f := range found {
				lines = append(lines, f.String())
			}
			require.Equal(t, c.findings, lines)
		})
	}
}

// Guards against tokens that leak because whole settings are logged. No verb and no
// encoder may reveal any part of a Secret.
func TestSecretIsHiddenByAllVerbsAndEncoders(t *testing.T) {
	c := conf.Caller{Account: "stud", Token: "caller-token-0123"}
	encoded, err := json.Marshal(c)
	require.NoError(t, err)
	texts := []string{string(encoded)}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		texts = append(texts, fmt.Sprintf(verb, c), fmt.Sprintf(verb, c.Token))
	}
	for _, text := range texts {
		require.NotContains(t, text, "0123")
		require.NotContains(t, text, "63616c6c6572", "the token in hexadecimal")
	}
}
