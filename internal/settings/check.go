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

// Problem is one setting that can't be used.
type Problem struct {
	// Setting is the name in Pascal case.
	Setting string
	// Value is as given.
	Value string
	// Allowed tells what would do, with units.
	Allowed string
}

// String is one line for an operator.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: want %s", p.Setting, p.Value, p.Allowed)
}

// Error lists all problems.
type Error struct {
	Problems []Problem
	cause    error
}

// Error implements error, a line for each problem.
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

// Unwrap returns the error of the parser below, if there was one.
func (e *Error) Unwrap() error { return e.cause }

func wrap(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return flag.ErrHelp
	}
	return &Error{
		cause: err,
	}
}

// Bounds of the settings.
const (
	maximumTerm     = time.Hour
	maximumRequests = 1 << 20
)

// checker collects problems.
type checker struct {
	problems []Problem
}

// Check reports all problems of the settings in one *Error, or nil.
func Check(s Settings) error {
	c := &checker{}
	c.address("EntryAddress", s.EntryAddress)
	c.address("PeerAddress", s.PeerAddress)
	c.address("AdminAddress", s.AdminAddress)
	c.distinct(s)
	c.name("Zone", s.Zone)
	c.name("Region", s.Region)
	c.endpoints(s.StoreEndpoints)
	c.url("ListURL", s.ListURL)
	c.duration("ListLag", s.ListLag, time.Second, maximumTerm)
	c.duration("FreshnessTerm", s.FreshnessTerm, time.Second, time.Minute)
	c.duration("BalancerLag", s.BalancerLag, 0, time.Minute)
	c.duration("StopTimeout", s.StopTimeout, time.Second, maximumTerm)
	if s.StopTimeout < s.BalancerLag {
		c.add("StopTimeout", s.StopTimeout.String(), "at least BalancerLag, "+s.BalancerLag.String())
	}
	if s.MaximumRequests < 1 || s.MaximumRequests > maximumRequests {
		c.add("MaximumRequests", fmt.Sprint(s.MaximumRequests), fmt.Sprintf("1 to %d requests", maximumRequests))
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

// ParseLevel turns a log level's name into slog's.
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
		c.add(setting, value, "an IP number and a port, as in 10.0.0.7:7000")
	}
}

// distinct checks that no two listeners share an address. Port 0 lets the
// system choose.
func (c *checker) distinct(s Settings) {
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
			c.add(l.setting, l.value, "another address than "+other)
		}
		seen[l.value] = l.setting
	}
}

func (c *checker) name(setting, value string) {
	const longest = 64
	if value == "" || len(value) > longest || strings.ContainsAny(value, " \t\n/") {
		c.add(setting, value, fmt.Sprintf("a name of 1 to %d characters without spaces or slashes", longest))
	}
}

func (c *checker) endpoints(values []string) {
	if len(values) == 0 {
		c.add("StoreEndpoints", "", "one URL or more, as in http://10.0.0.2:2379")
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
		c.add(setting, value, "a URL with an IP number, as in http://10.0.0.2:2379")
	}
}

func (c *checker) duration(setting string, value, least, most time.Duration) {
	if value < least || value > most {
		c.add(setting, value.String(), fmt.Sprintf("%v to %v", least, most))
	}
}
