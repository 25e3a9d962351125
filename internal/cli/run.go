package cli

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanglade/banyanglade/internal/settings"
)

// Limits of the flag values.
const (
	maxShards       = 1 << 16
	minPeerKeyBytes = 16
	maxPeerKeyBytes = 4096
	minRetention    = 10 * time.Second
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 1 << 30
)

// RunCommand runs an instance.
type RunCommand struct {
	RunConfig
	PeerKeyFile string `arg:"--peer-key-file,env:BANYANGLADE_PEER_KEY_FILE" placeholder:"FILE" help:"file that holds the peer key, if BANYANGLADE_PEER_KEY is not set"`
}

// RunConfig is the configuration of an instance, set by flags or environment
// variables.
type RunConfig struct {
	ID         string `arg:"--id,env:BANYANGLADE_ID" help:"id of this instance, unique among all instances"`
	Region     string `arg:"--region,env:BANYANGLADE_REGION" help:"region, the group of data centres that share programs"`
	DataCentre string `arg:"--data-centre,env:BANYANGLADE_DATA_CENTRE" placeholder:"NAME" help:"data centre of this instance"`

	Listen        string `arg:"--listen,env:BANYANGLADE_LISTEN" default:"0.0.0.0:8080" placeholder:"IP:PORT" help:"listen address for callers and operators (HTTP)"`
	PeerListen    string `arg:"--peer-listen,env:BANYANGLADE_PEER_LISTEN" default:"0.0.0.0:8081" placeholder:"IP:PORT" help:"listen address for other instances"`
	PeerAdvertise string `arg:"--peer-advertise,env:BANYANGLADE_PEER_ADVERTISE" placeholder:"IP:PORT" help:"address at which other instances reach this one; the peer listen address if not given"`

	LogURL     string `arg:"--log-url,env:BANYANGLADE_LOG_URL" placeholder:"URL" help:"base URL of the platform's append-only log"`
	MembersURL string `arg:"--members-url,env:BANYANGLADE_MEMBERS_URL" placeholder:"URL" help:"base URL of the platform's membership list"`

	Shards        int    `arg:"--shards,env:BANYANGLADE_SHARDS" default:"64" help:"number of shards of the region's programs; the same at all instances, never changed"`
	PeerKey       Secret `arg:"--,env:BANYANGLADE_PEER_KEY" help:"key that all instances share, at least 16 bytes"`
	PeerTLSCert   string `arg:"--peer-tls-cert,env:BANYANGLADE_PEER_TLS_CERT" placeholder:"FILE" help:"certificate of this instance for mutual TLS with other instances (PEM)"`
	PeerTLSKey    string `arg:"--peer-tls-key,env:BANYANGLADE_PEER_TLS_KEY" placeholder:"FILE" help:"private key of the certificate (PEM)"`
	PeerTLSCA     string `arg:"--peer-tls-ca,env:BANYANGLADE_PEER_TLS_CA" placeholder:"FILE" help:"authority that signs the instances' certificates (PEM)"`
	RootKeySHA256 string `arg:"--root-key-sha256,env:BANYANGLADE_ROOT_KEY_SHA256" placeholder:"HEX" help:"SHA-256 of the root operator's key; without it there is no root operator"`

	LogLevel     slog.Level    `arg:"--log-level,env:BANYANGLADE_LOG_LEVEL" default:"INFO" placeholder:"LEVEL" help:"DEBUG, INFO, WARN or ERROR"`
	Retention    time.Duration `arg:"--retention,env:BANYANGLADE_RETENTION" default:"24h" help:"how long the log keeps records"`
	DrainTimeout time.Duration `arg:"--drain-timeout,env:BANYANGLADE_DRAIN_TIMEOUT" default:"30s" help:"the longest that a graceful shutdown waits for calls in flight"`
	MaxBody      int64         `arg:"--max-body,env:BANYANGLADE_MAX_BODY" default:"8388608" placeholder:"BYTES" help:"largest request body"`
}

// ConfigError reports a flag with a wrong value and what was expected.
type ConfigError struct {
	Flag     string
	Value    string
	Expected string
}

func (e *ConfigError) Error() string {
	variable := "BANYANGLADE_" + strings.ToUpper(strings.ReplaceAll(e.Flag, "-", "_"))
	if e.Value == "" {
		return "--" + e.Flag + " or " + variable + ": expected " + e.Expected
	}
	return "--" + e.Flag + " or " + variable + ": " + e.Value + ": expected " + e.Expected
}

func (c *RunCommand) execute(ctx context.Context, p *Program) error {
	if err := c.readPeerKey(); err != nil {
		return err
	}
	if err := c.Validate(); err != nil {
		return errors.Mark(err, errUsage)
	}
	if p.RunInstance == nil {
		return errors.New("this build cannot run an instance")
	}
	return p.RunInstance(ctx, c.RunConfig)
}

// readPeerKey reads the peer key from its file unless the key is set directly.
func (c *RunCommand) readPeerKey() error {
	if c.PeerKey.Reveal() != "" || c.PeerKeyFile == "" {
		return nil
	}
	info, err := os.Stat(c.PeerKeyFile)
	if err != nil {
		return errors.Wrap(err, "peer key file")
	}
	if info.Size() > maxPeerKeyBytes {
		return errors.Newf("peer key file: %d bytes, expected at most %d", info.Size(), maxPeerKeyBytes)
	}
	data, err := os.ReadFile(c.PeerKeyFile)
	if err != nil {
		return errors.Wrap(err, "peer key file")
	}
	c.PeerKey = NewSecret(strings.TrimSpace(string(data)))
	return nil
}

// Validate returns a *ConfigError for the first invalid value.
func (c RunConfig) Validate() error {
	for _, check := range []func() error{c.validateNames, c.validateAddresses, c.validateKeys, c.validateLimits} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

func (c RunConfig) validateNames() error {
	names := []struct{ flag, value string }{
		{"id", c.ID}, {"region", c.Region}, {"data-centre", c.DataCentre},
	}
	for _, name := range names {
		if !namePattern.MatchString(name.value) {
			return &ConfigError{name.flag, name.value, "1 to 63 of a-z, 0-9, '.' and '-', starting with a letter or digit"}
		}
	}
	return nil
}

func (c RunConfig) validateAddresses() error {
	listens := []struct{ flag, value string }{{"listen", c.Listen}, {"peer-listen", c.PeerListen}}
	for _, listen := range listens {
		if _, err := netip.ParseAddrPort(listen.value); err != nil {
			return &ConfigError{listen.flag, listen.value, "an IP address and port, as in 127.0.0.1:8080"}
		}
	}
	if err := c.validateAdvertised(); err != nil {
		return err
	}
	urls := []struct{ flag, value string }{{"log-url", c.LogURL}, {"members-url", c.MembersURL}}
	for _, base := range urls {
		if !isHTTPURL(base.value) {
			return &ConfigError{base.flag, redactURL(base.value), "an http or https URL without a user or query"}
		}
	}
	return nil
}

// validateAdvertised checks that the address advertised to other instances can be
// reached: not an unspecified address such as 0.0.0.0.
func (c RunConfig) validateAdvertised() error {
	if c.PeerAdvertise == "" {
		listen, _ := netip.ParseAddrPort(c.PeerListen)
		if listen.Addr().IsUnspecified() {
			return &ConfigError{"peer-advertise", "", "the address that other instances reach, since --peer-listen is " +
				net.JoinHostPort(listen.Addr().String(), "...")}
		}
		return nil
	}
	advertised, err := netip.ParseAddrPort(c.PeerAdvertise)
	if err != nil || advertised.Addr().IsUnspecified() || advertised.Port() == 0 {
		return &ConfigError{"peer-advertise", c.PeerAdvertise, "an IP address and port that other instances reach"}
	}
	return nil
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil && u.RawQuery == ""
}

// redactURL removes the password and the query of a URL. A text that does not parse
// is hidden as a whole if it may contain a password.
func redactURL(text string) string {
	u, err := url.Parse(text)
	switch {
	case err == nil && u.RawQuery != "":
		u.RawQuery = "..."
		return u.Redacted()
	case err == nil:
		return u.Redacted()
	case strings.Contains(text, "@"):
		return redacted
	}
	return text
}

// validateKeys checks the keys. Its errors contain no secrets.
func (c RunConfig) validateKeys() error {
	if n := len(c.PeerKey.Reveal()); n < minPeerKeyBytes || n > maxPeerKeyBytes {
		return &ConfigError{"peer-key-file", "", "a peer key of at least 16 bytes, here or in BANYANGLADE_PEER_KEY"}
	}
	given := c.PeerTLSCert != "" || c.PeerTLSKey != "" || c.PeerTLSCA != ""
	if given && (c.PeerTLSCert == "" || c.PeerTLSKey == "" || c.PeerTLSCA == "") {
		return &ConfigError{"peer-tls-cert", c.PeerTLSCert, "--peer-tls-cert, --peer-tls-key and --peer-tls-ca together, or none"}
	}
	if c.RootKeySHA256 == "" {
		return nil
	}
	if _, ok := settings.ParseKeyHash(c.RootKeySHA256); !ok {
		return &ConfigError{"root-key-sha256", "", "64 hex digits, the SHA-256 of the root operator's key"}
	}
	return nil
}

func (c RunConfig) validateLimits() error {
	switch {
	case c.Shards < 1 || c.Shards > maxShards:
		return &ConfigError{"shards", "", "1 to 65536"}
	case c.Retention < minRetention:
		return &ConfigError{"retention", c.Retention.String(), "at least 10s"}
	case c.DrainTimeout <= 0:
		return &ConfigError{"drain-timeout", c.DrainTimeout.String(), "more than 0"}
	case c.MaxBody < minBodyBytes || c.MaxBody > maxBodyBytes:
		return &ConfigError{"max-body", "", "1024 to 1073741824 bytes"}
	}
	return nil
}
