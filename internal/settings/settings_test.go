package settings_test

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"dandelionmux/internal/settings"
)

// requiredArguments sets all settings that have no valid default.
var requiredArguments = []string{
	"-zone", "a",
	"-region", "west",
	"-store-endpoints", "http://127.0.0.1:2379",
	"-list-url", "http://127.0.0.1:2400/instances",
}

func parse(arguments ...string) (settings.Settings, error) {
	return settings.Parse("test", append(append([]string{}, requiredArguments...), arguments...), io.Discard)
}

func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	s, err := parse("-store-endpoints", "http://127.0.0.1:1, http://127.0.0.1:2")
	is.NoErr(err)
	is.Equal(s.StoreEndpoints, []string{"http://127.0.0.1:1", "http://127.0.0.1:2"})
	is.Equal(s.LogLevel, "Info")
}

func TestInvalidSettingsErrorNamesAllowedValues(t *testing.T) {
	tests := []struct {
		name      string
		arguments []string
		message   string
	}{
		{"entry without port", []string{"-entry-address", "127.0.0.1"}, `EntryAddress = "127.0.0.1": want an IP address and a port, as in 10.0.0.7:7000`},
		{"peer with a host name", []string{"-peer-address", "localhost:7000"}, `PeerAddress = "localhost:7000": want an IP address and a port, as in 10.0.0.7:7000`},
		{"admin empty", []string{"-admin-address", ""}, `AdminAddress = "": want an IP address and a port, as in 10.0.0.7:7000`},
		{"two listeners at one address", []string{"-admin-address", "127.0.0.1:8080"}, `AdminAddress = "127.0.0.1:8080": want an address other than EntryAddress`},
		{"no zone", []string{"-zone", ""}, `Zone = "": want a name of 1 to 64 characters without spaces or slashes`},
		{"region with a slash", []string{"-region", "a/b"}, `Region = "a/b": want a name of 1 to 64 characters without spaces or slashes`},
		{"no store", []string{"-store-endpoints", " ,"}, `StoreEndpoints = "": want one or more URLs, as in http://10.0.0.2:2379`},
		{"store without scheme", []string{"-store-endpoints", "10.0.0.2:2379"}, `StoreEndpoints = "10.0.0.2:2379": want an http or https URL`},
		{"store with a host name", []string{"-store-endpoints", "http://store:2379"}, `StoreEndpoints = "http://store:2379": want a URL with an IP address`},
		{"list without scheme", []string{"-list-url", "list"}, `ListURL = "list": want an http or https URL`},
		{"list lag too short", []string{"-list-lag", "10ms"}, `ListLag = "10ms": want 1s to 1h0m0s`},
		{"freshness term too long", []string{"-freshness-term", "1h"}, `FreshnessTerm = "1h0m0s": want 1s to`},
		{"negative balancer lag", []string{"-balancer-lag", "-1s"}, `BalancerLag = "-1s": want 0s to 1m0s`},
		{"stop timeout shorter than the balancer lag", []string{"-stop-timeout", "1s", "-balancer-lag", "5s"}, `StopTimeout = "1s": want at least BalancerLag, 5s`},
		{"stop timeout too long", []string{"-stop-timeout", "100h"}, `StopTimeout = "100h0m0s": want 1s to 1h0m0s`},
		{"maximum of zero requests", []string{"-maximum-requests", "0"}, `MaximumRequests = "0": want 1 to 1048576 requests`},
		{"too little memory", []string{"-memory", "3"}, `Memory = "3": want 0, or 64 to 1048576 megabytes`},
		{"unknown log level", []string{"-log-level", "Loud"}, `LogLevel = "Loud": want Debug, Info, Warn or Error`},
		{"unknown flag", []string{"-colour", "red"}, `colour`},
		{"not a duration", []string{"-list-lag", "soon"}, `list-lag`},
		{"argument without a flag", []string{"now"}, `now = "now": want no arguments besides flags`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(tt.arguments...)
			var bad *settings.Error
			is.True(errors.As(err, &bad))
			if !strings.Contains(err.Error(), tt.message) {
				t.Fatalf("got %q, want %q in it", err, tt.message)
			}
		})
	}
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := parse("-zone", "", "-log-level", "Loud", "-list-lag", "1ms")
	var bad *settings.Error
	is.True(errors.As(err, &bad))
	is.Equal(len(bad.Problems), 3)
}

func TestSettingsFile(t *testing.T) {
	tests := []struct {
		name    string
		content string
		// message is contained in the error; empty if the file is valid.
		message string
	}{
		{"good", `{"Zone": "b", "StoreEndpoints": ["http://127.0.0.1:3"], "FreshnessTerm": "2s", "LogDecisions": false, "MaximumRequests": 9}`, ""},
		{"unknown name", `{"Colour": "red"}`, "Colour"},
		{"not Pascal case", `{"zone": "b"}`, "Pascal case"},
		{"bad value", `{"FreshnessTerm": {}}`, "FreshnessTerm"},
		{"not JSON", `Zone: b`, "settings file"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.json")
			is.NoErr(os.WriteFile(file, []byte(tt.content), 0o600))
			s, err := settings.Parse("test", []string{"-settings", file, "-region", "west", "-store-endpoints", "http://127.0.0.1:1", "-list-url", "http://127.0.0.1:2"}, io.Discard)
			if tt.message != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), tt.message))
				return
			}
			is.NoErr(err)
			is.Equal(s.Zone, "b")
			is.Equal(s.StoreEndpoints, []string{"http://127.0.0.1:1"}) // flags take precedence over the file
			is.Equal(s.FreshnessTerm, 2*time.Second)
			is.Equal(s.MaximumRequests, 9)
			is.True(!s.LogDecisions)
		})
	}
}

func TestHelpReturnsErrHelp(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("test", []string{"-help"}, io.Discard)
	is.True(errors.Is(err, flag.ErrHelp))
}
