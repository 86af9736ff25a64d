package main

import (
	"flag"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"dandelionmux/internal/etcd"
	"dandelionmux/internal/operator"
)

// Values of -output.
const (
	outputText = "text"
	outputJSON = "json"
)

// Default and range of -timeout.
const (
	defaultTimeout = 15 * time.Second
	minTimeout     = 100 * time.Millisecond
	maxTimeout     = 10 * time.Minute
)

// settings are the flags that all commands share.
type settings struct {
	store   string
	author  string
	output  string
	timeout time.Duration
}

// register adds the flags to a flag set, with defaults from the environment.
func (s *settings) register(flags *flag.FlagSet, getenv func(string) string) {
	author := getenv("DANDELIONCTL_AUTHOR")
	if author == "" {
		author = getenv("USER")
	}
	flags.StringVar(&s.store, "store", getenv("DANDELIONCTL_STORE"), "the store's URLs, separated by commas; by default the environment variable DANDELIONCTL_STORE")
	flags.StringVar(&s.author, "author", author, "your name or team in the history; by default the environment variable DANDELIONCTL_AUTHOR or USER")
	flags.StringVar(&s.output, "output", outputText, "text or json")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "how long the command may take, 100ms to 10m")
}

// check returns an error that wraps errUsage and names all invalid settings, or nil.
// It replaces an invalid output by text, so that the error can be printed.
func (s *settings) check() error {
	var problems []string
	if s.output != outputText && s.output != outputJSON {
		problems = append(problems, "-output "+s.output+" is neither text nor json")
		s.output = outputText
	}
	if s.timeout < minTimeout || s.timeout > maxTimeout {
		problems = append(problems, "-timeout "+s.timeout.String()+" is not within 100ms to 10m")
	}
	if len(problems) > 0 {
		return errors.Wrap(errUsage, strings.Join(problems, "; "))
	}
	return nil
}

// newEditor returns an editor of the document in the store, and its client, which the
// caller closes.
func (s *settings) newEditor() (*operator.Editor, *etcd.Client, error) {
	if s.store == "" {
		return nil, nil, errors.Wrap(errUsage, "the store's URL is missing: set -store or DANDELIONCTL_STORE, as in http://10.0.0.9:2379")
	}
	client, err := etcd.New(strings.Split(s.store, ","))
	if err != nil {
		return nil, nil, errors.Wrap(errUsage, err.Error())
	}
	return operator.New(client, operator.Author(s.author)), client, nil
}
