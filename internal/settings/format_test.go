package settings_test

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/internal/settings"
)

// nonDefault has a value other than the default for each setting.
var nonDefault = settings.Settings{
	EntryAddress:    "10.0.0.1:1",
	PeerAddress:     "10.0.0.1:2",
	AdminAddress:    "10.0.0.1:3",
	Zone:            "b",
	Region:          "east",
	StoreEndpoints:  []string{"http://10.0.0.2:4", "http://10.0.0.3:4"},
	ListURL:         "http://10.0.0.4:5/instances",
	ListLag:         31 * time.Second,
	FreshnessTerm:   3 * time.Second,
	BalancerLag:     4 * time.Second,
	StopTimeout:     32 * time.Second,
	MaximumRequests: 9,
	Memory:          700,
	LogLevel:        "Warn",
	LogDecisions:    false,
}

// The names of settings must not change in any of their three forms: an instance
// would fail to start with settings that are already deployed.
func TestSettingsHaveFixedNames(t *testing.T) {
	arguments := []string{
		"-entry-address", "10.0.0.1:1",
		"-peer-address", "10.0.0.1:2",
		"-admin-address", "10.0.0.1:3",
		"-zone", "b",
		"-region", "east",
		"-store-endpoints", "http://10.0.0.2:4,http://10.0.0.3:4",
		"-list-url", "http://10.0.0.4:5/instances",
		"-list-lag", "31s",
		"-freshness-term", "3s",
		"-balancer-lag", "4s",
		"-stop-timeout", "32s",
		"-maximum-requests", "9",
		"-memory", "700",
		"-log-level", "Warn",
		"-log-decisions=false",
	}
	const file = `{
"EntryAddress": "10.0.0.1:1",
"PeerAddress": "10.0.0.1:2",
"AdminAddress": "10.0.0.1:3",
"Zone": "b",
"Region": "east",
"StoreEndpoints": ["http://10.0.0.2:4", "http://10.0.0.3:4"],
"ListURL": "http://10.0.0.4:5/instances",
"ListLag": "31s",
"FreshnessTerm": "3s",
"BalancerLag": "4s",
"StopTimeout": "32s",
"MaximumRequests": 9,
"Memory": 700,
"LogLevel": "Warn",
"LogDecisions": false
}`
	environment := map[string]string{
		"DANDELIONMUX_ENTRY_ADDRESS":    "10.0.0.1:1",
		"DANDELIONMUX_PEER_ADDRESS":     "10.0.0.1:2",
		"DANDELIONMUX_ADMIN_ADDRESS":    "10.0.0.1:3",
		"DANDELIONMUX_ZONE":             "b",
		"DANDELIONMUX_REGION":           "east",
		"DANDELIONMUX_STORE_ENDPOINTS":  "http://10.0.0.2:4,http://10.0.0.3:4",
		"DANDELIONMUX_LIST_URL":         "http://10.0.0.4:5/instances",
		"DANDELIONMUX_LIST_LAG":         "31s",
		"DANDELIONMUX_FRESHNESS_TERM":   "3s",
		"DANDELIONMUX_BALANCER_LAG":     "4s",
		"DANDELIONMUX_STOP_TIMEOUT":     "32s",
		"DANDELIONMUX_MAXIMUM_REQUESTS": "9",
		"DANDELIONMUX_MEMORY":           "700",
		"DANDELIONMUX_LOG_LEVEL":        "Warn",
		"DANDELIONMUX_LOG_DECISIONS":    "false",
	}
	t.Run("flags", func(t *testing.T) {
		is := is.New(t)
		got, err := settings.Parse("test", arguments, io.Discard)
		is.NoErr(err)
		is.Equal(got, nonDefault)
	})
	t.Run("file", func(t *testing.T) {
		is := is.New(t)
		path := filepath.Join(t.TempDir(), "settings.json")
		is.NoErr(os.WriteFile(path, []byte(file), 0o600))
		got, err := settings.Parse("test", []string{"-settings", path}, io.Discard)
		is.NoErr(err)
		is.Equal(got, nonDefault)
	})
	t.Run("environment", func(t *testing.T) {
		is := is.New(t)
		for name, value := range environment {
			t.Setenv(name, value)
		}
		got, err := settings.Parse("test", nil, io.Discard)
		is.NoErr(err)
		is.Equal(got, nonDefault)
	})
}
