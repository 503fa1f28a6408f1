package conf

import (
	"cmp"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"monsoonferry.org/ferry"
)

// Settings holds the settings of one process. They are read once at start.
type Settings struct {
	ID    ferry.VMID
	Place ferry.PlaceID
	// Callers, Peers and Admin are the addresses on which the process listens.
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Admin   netip.AddrPort
	// Platform lists the addresses of the platform's service.
	Platform  []netip.AddrPort
	LogLevel  slog.Level
	LogFormat LogFormat
	// OperatorKey is the digest of the key that the administration API requires.
	OperatorKey ferry.KeyHash
	CallerTLS   TLSFiles
	PeerTLS     TLSFiles
	// PlainText allows listeners without TLS.
	PlainText bool
	// GracePeriod is the time between the signal to stop and a forced kill, or zero for
	// DefaultStopPeriod.
	GracePeriod time.Duration
}

// DefaultStopPeriod is the default of Settings.GracePeriod.
const DefaultStopPeriod = 30 * time.Second

// StopPeriod returns the grace period or its default.
func (s Settings) StopPeriod() time.Duration { return cmp.Or(s.GracePeriod, DefaultStopPeriod) }

// LogFormat selects the encoding of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "Text"
	LogJSON LogFormat = "Json"
)

// TLSFiles names PEM files. The zero value means no TLS.
type TLSFiles struct {
	Certificate string
	Key         string
	// Authority is the CA that signs the other side's certificates, for mutual TLS.
	Authority string
}

type (
	settingsDocument struct {
		ID          string
		Place       string
		Callers     string
		Peers       string
		Admin       string
		Platform    []string
		LogLevel    string
		LogFormat   string
		OperatorKey string
		CallerTLS   tlsDocument
		PeerTLS     tlsDocument
		PlainText   bool
		GracePeriod string
	}
	tlsDocument struct {
		Certificate string
		Key         string
		Authority   string
	}
)

// ParseSettings decodes and validates the settings of a process. It returns
// ProblemsError if they are invalid.
func ParseSettings(text []byte) (Settings, error) {
	var d settingsDocument
	if err := decode(text, &d); err != nil {
		return Settings{}, err
	}
	var problems ProblemsError
	settings := Settings{
		ID:        ferry.VMID(d.ID),
		Place:     ferry.PlaceID(d.Place),
		Callers:   parseAddress("Callers", d.Callers, &problems),
		Peers:     parseAddress("Peers", d.Peers, &problems),
		Admin:     parseAddress("Admin", d.Admin, &problems),
		LogFormat: LogFormat(d.LogFormat),
		CallerTLS: TLSFiles(d.CallerTLS),
		PeerTLS:   TLSFiles(d.PeerTLS),
		PlainText: d.PlainText,
	}
	checkRequired(d, &problems)
	settings.GracePeriod = parseDuration("GracePeriod", d.GracePeriod, &problems)
	for i, text := range d.Platform {
		settings.Platform = append(settings.Platform, parseAddress(fmt.Sprintf("Platform[%d]", i), text, &problems))
	}
	if d.LogLevel != "" {
		if err := settings.LogLevel.UnmarshalText([]byte(d.LogLevel)); err != nil {
			problems.add("LogLevel", "expected Debug, Info, Warn or Error, found %q", d.LogLevel)
		}
	}
	if d.LogFormat != "" && settings.LogFormat != LogText && settings.LogFormat != LogJSON {
		problems.add("LogFormat", "expected %s or %s, found %q", LogText, LogJSON, d.LogFormat)
	}
	account := mapAccount("$", accountDocument{Keys: []string{d.OperatorKey}}, &ProblemsError{})
	if len(account.Keys) == 1 {
		settings.OperatorKey = account.Keys[0]
	} else {
		problems.add("OperatorKey", "expected a SHA-256 digest of 64 hexadecimal digits")
	}
	if err := problems.errorOrNil(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func checkRequired(d settingsDocument, problems *ProblemsError) {
	if d.ID == "" {
		problems.add("ID", "the field is required")
	}
	if d.Place == "" {
		problems.add("Place", "the field is required")
	}
	if len(d.Platform) == 0 {
		problems.add("Platform", "at least one address is required")
	}
	if !d.PlainText && (d.CallerTLS.Certificate == "" || d.PeerTLS.Certificate == "") {
		problems.add("PlainText", "give CallerTLS and PeerTLS, or set PlainText to true")
	}
}
