package settings

import (
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Problem describes one invalid setting.
type Problem struct {
	// Setting is the setting's name in Pascal case, or the first argument that isn't
	// a flag.
	Setting string
	// Value is the value as it was given.
	Value string
	// Allowed describes the allowed values, with units.
	Allowed string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: want %s", p.Setting, p.Value, p.Allowed)
}

// Error is the error of settings that can't be parsed or are invalid.
type Error struct {
	Problems []Problem
	cause    error
}

// Error returns one line for each problem, or the parser's error.
func (e *Error) Error() string {
	if e.cause != nil {
		return "settings: " + e.cause.Error()
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = "settings: " + p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error of the flag or file parser, or nil if the settings could
// be parsed.
func (e *Error) Unwrap() error { return e.cause }

// parserError turns an error of the parser into an *Error. It returns flag.ErrHelp as
// it is.
func parserError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return &Error{
		cause: err,
	}
}

// Upper bounds of the settings.
const (
	maxDuration = time.Hour
	maxRequests = 1 << 20
	// minMemory and maxMemory bound the memory of a process, in megabytes.
	minMemory = 64
	maxMemory = 1 << 20
)

// checker collects the problems that its methods find in single settings.
type checker struct {
	problems []Problem
}

// Check returns an *Error with all problems of the settings, or nil if they are valid.
func Check(s Settings) error {
	c := &checker{}
	c.address("EntryAddress", s.EntryAddress)
	c.address("PeerAddress", s.PeerAddress)
	c.address("AdminAddress", s.AdminAddress)
	c.distinctAddresses(s)
	c.name("Zone", s.Zone)
	c.name("Region", s.Region)
	c.endpoints(s.StoreEndpoints)
	c.url("ListURL", s.ListURL)
	c.duration("ListLag", s.ListLag, time.Second, maxDuration)
	c.duration("FreshnessTerm", s.FreshnessTerm, time.Second, time.Minute)
	c.duration("BalancerLag", s.BalancerLag, 0, time.Minute)
	c.duration("StopTimeout", s.StopTimeout, time.Second, maxDuration)
	if s.StopTimeout < s.BalancerLag {
		c.add("StopTimeout", s.StopTimeout.String(), "at least BalancerLag, "+s.BalancerLag.String())
	}
	if s.MaximumRequests < 1 || s.MaximumRequests > maxRequests {
		c.add("MaximumRequests", fmt.Sprint(s.MaximumRequests), fmt.Sprintf("1 to %d requests", maxRequests))
	}
	if s.Memory != 0 && (s.Memory < minMemory || s.Memory > maxMemory) {
		c.add("Memory", fmt.Sprint(s.Memory), fmt.Sprintf("0, or %d to %d megabytes", minMemory, maxMemory))
	}
	if _, err := ParseLevel(s.LogLevel); err != nil {
		c.add("LogLevel", s.LogLevel, "Debug, Info, Warn or Error")
	}
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{
		Problems: c.problems,
	}
}

// ParseLevel returns the slog level with the name, such as Info. Case doesn't matter.
func ParseLevel(name string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, errors.Wrap(err, "log level")
	}
	return level, nil
}

func (c *checker) add(setting, value, allowed string) {
	c.problems = append(c.problems, Problem{
		Setting: setting,
		Value:   value,
		Allowed: allowed,
	})
}

func (c *checker) address(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(setting, value, "an IP address and a port, as in 10.0.0.7:7000")
	}
}

// distinctAddresses checks that no two listeners have the same address. Addresses
// with port 0 are skipped, because the system chooses a free port for each.
func (c *checker) distinctAddresses(s Settings) {
	listeners := []struct{ setting, value string }{
		{"EntryAddress", s.EntryAddress},
		{"PeerAddress", s.PeerAddress},
		{"AdminAddress", s.AdminAddress},
	}
	seen := map[string]string{}
	for _, l := range listeners {
		_, port, err := net.SplitHostPort(l.value)
		if err != nil || port == "0" {
			continue
		}
		if other, ok := seen[l.value]; ok {
			c.add(l.setting, l.value, "an address other than "+other)
		}
		seen[l.value] = l.setting
	}
}

func (c *checker) name(setting, value string) {
	const maxNameLength = 64
	if value == "" || len(value) > maxNameLength || strings.ContainsAny(value, " \t\n/") {
		c.add(setting, value, fmt.Sprintf("a name of 1 to %d characters without spaces or slashes", maxNameLength))
	}
}

func (c *checker) endpoints(values []string) {
	if len(values) == 0 {
		c.add("StoreEndpoints", "", "one or more URLs, as in http://10.0.0.2:2379")
	}
	for _, v := range values {
		c.url("StoreEndpoints", v)
	}
}

func (c *checker) url(setting, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(setting, value, "an http or https URL, as in http://10.0.0.2:2379")
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(setting, value, "a URL with an IP address, as in http://10.0.0.2:2379")
	}
}

func (c *checker) duration(setting string, value, minimum, maximum time.Duration) {
	if value < minimum || value > maximum {
		c.add(setting, value.String(), fmt.Sprintf("%v to %v", minimum, maximum))
	}
}
