package settings

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"golang.org/x/sys/unix"
)

// EnvironmentPrefix is the prefix of the names of environment variables.
const EnvironmentPrefix = "DANDELIONMUX"

// Settings holds the settings of an instance.
type Settings struct {
	// EntryAddress is the address where callers connect, "IP:port".
	EntryAddress string
	// PeerAddress is the address where other instances connect, "IP:port". It
	// identifies the instance in the fleet.
	PeerAddress string
	// AdminAddress is the address of the HTTP endpoints for readiness, liveness,
	// metrics and status, "IP:port".
	AdminAddress string
	// Zone is the instance's availability zone.
	Zone string
	// Region is the instance's region.
	Region string
	// StoreEndpoints are the URLs of the platform's store.
	StoreEndpoints []string
	// ListURL is the URL of the platform's instance list.
	ListURL string
	// ListLag is the maximum time by which the instance list lags behind.
	ListLag time.Duration
	// FreshnessTerm is how long an instance goes on admitting requests without
	// contact to the store or to the holders of more than half of the shares, and
	// how long it does so after a newer revision became known that isn't in force
	// on it.
	FreshnessTerm time.Duration
	// BalancerLag is how long the load balancer may go on sending connections to
	// an instance after it has begun to leave.
	BalancerLag time.Duration
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout time.Duration
	// MaximumRequests is the maximum number of requests in progress.
	MaximumRequests int
	// Memory is the memory that the process may use, in megabytes; zero means a half of the
	// machine's.
	Memory int
	// LogLevel is Debug, Info, Warn or Error.
	LogLevel string
	// LogDecisions turns on a log line for each routing decision.
	LogDecisions bool
}

// Parse reads and checks settings from the arguments, the environment and a JSON file,
// and writes help and parse errors to output. The program's name appears in the help.
// The error is flag.ErrHelp if help was asked for, or of type *Error.
func Parse(program string, arguments []string, output io.Writer) (Settings, error) {
	s := Settings{}
	set := flag.NewFlagSet(program, flag.ContinueOnError)
	set.SetOutput(output)
	var endpoints string
	var file string
	set.StringVar(&file, "settings", "", "JSON file with settings, with names in Pascal case, as in PeerAddress")
	set.StringVar(&s.EntryAddress, "entry-address", "127.0.0.1:8080", "where callers connect, IP:port")
	set.StringVar(&s.PeerAddress, "peer-address", "127.0.0.1:7000", "where other instances connect, IP:port; identifies the instance in the fleet")
	set.StringVar(&s.AdminAddress, "admin-address", "127.0.0.1:9000", "where readiness, liveness, metrics and status are served, IP:port")
	set.StringVar(&s.Zone, "zone", "", "the instance's availability zone")
	set.StringVar(&s.Region, "region", "", "the instance's region")
	set.StringVar(&endpoints, "store-endpoints", "", "URLs of the platform's store, separated by commas")
	set.StringVar(&s.ListURL, "list-url", "", "URL of the platform's instance list")
	set.DurationVar(&s.ListLag, "list-lag", 30*time.Second, "maximum lag of the instance list")
	set.DurationVar(&s.FreshnessTerm, "freshness-term", 2*time.Second, "how long to admit requests without contact to the store or to the holders of more than half of the shares")
	set.DurationVar(&s.BalancerLag, "balancer-lag", 2*time.Second, "how long the load balancer may send connections to a leaving instance")
	set.DurationVar(&s.StopTimeout, "stop-timeout", 30*time.Second, "maximum duration of a graceful stop")
	set.IntVar(&s.MaximumRequests, "maximum-requests", 4096, "maximum number of requests in progress")
	set.IntVar(&s.Memory, "memory", 0, "memory that the process may use, in megabytes; 0 means a half of the machine's")
	set.StringVar(&s.LogLevel, "log-level", "Info", "Debug, Info, Warn or Error")
	set.BoolVar(&s.LogDecisions, "log-decisions", true, "log a line for each routing decision")
	err := ff.Parse(set, arguments,
		ff.WithEnvVarPrefix(EnvironmentPrefix),
		ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(parseFile))
	if err != nil {
		return s, parserError(err)
	}
	if set.NArg() > 0 {
		return s, &Error{
			Problems: []Problem{{
				Setting: set.Arg(0),
				Value:   strings.Join(set.Args(), " "),
				Allowed: "no arguments besides flags",
			}},
		}
	}
	s.StoreEndpoints = splitList(endpoints)
	return s, Check(s)
}

// megabyte is the unit of Settings.Memory, in bytes.
const megabyte = 1 << 20

// MemoryBytes returns the memory that the process may use, in bytes; zero if neither the setting
// nor the machine tells.
func (s Settings) MemoryBytes() int64 {
	if s.Memory > 0 {
		return int64(s.Memory) * megabyte
	}
	var machine unix.Sysinfo_t
	if err := unix.Sysinfo(&machine); err != nil {
		return 0
	}
	return int64(machine.Totalram * uint64(machine.Unit) / 2)
}

// splitList splits a comma-separated list, trims spaces and drops empty elements.
func splitList(list string) []string {
	var parts []string
	for p := range strings.SplitSeq(list, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}
