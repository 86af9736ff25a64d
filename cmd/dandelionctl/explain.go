package main

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxExplanationBytes limits the answer that is printed.
const maxExplanationBytes = 4 << 20

func (p *program) explainCommand() *ffcli.Command {
	flags := p.flags("dandelionctl explain")
	host := flags.String("host", "", "the request's host; empty matches routes for any host")
	path := flags.String("path", "/", "the request's path, with escapes")
	method := flags.String("method", http.MethodGet, "the request's method")
	organisation := flags.String("organisation", "", "the caller's organisation; routes that aren't open need one")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "dandelionctl explain [flags] METRICS",
		ShortHelp:  "Tell where an instance would send a request now, and why, without sending it.",
		LongHelp: "METRICS is the address of the instance's metrics, IP:port. The answer has a line of\n" +
			"key=value pairs for each fact; the last says what would happen.",
		FlagSet: flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return errors.Wrapf(errUsage, "arguments %q are not the metrics address of one instance, IP:port", arguments)
			}
			return p.explain(ctx, arguments[0], url.Values{
				"Host":         {*host},
				"Path":         {*path},
				"Method":       {*method},
				"Organisation": {*organisation},
			})
		},
	}
}

// explain prints an instance's answer about a request.
func (p *program) explain(ctx context.Context, address string, request url.Values) error {
	u := url.URL{
		Scheme:   "http",
		Host:     address,
		Path:     "/explain",
		RawQuery: request.Encode(),
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask instance")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", address, answer.Status)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxExplanationBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return p.print(struct{ Explanation string }{string(text)}, "%s", text)
}
