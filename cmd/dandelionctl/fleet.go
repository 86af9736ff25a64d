package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionmux/internal/operator"
	"dandelionmux/pkg/document"
	"dandelionmux/pkg/instance"
)

const (
	// keyBytes is the length of a new key in bytes, before hexadecimal encoding.
	keyBytes = 32
	// statusTimeout bounds the request for the status of one instance.
	statusTimeout = 3 * time.Second
)

func (p *program) keyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "dandelionctl key [flags]",
		ShortHelp:  "Generate a random key for a caller, and its digest for the section Organisations.",
		LongHelp:   "The key is printed only once and not stored: give it to the caller, and add the digest\nto KeyDigests. To withdraw a key, remove its digest.",
		FlagSet:    p.flags("dandelionctl key"),
		Exec: withoutArguments(func(context.Context) error {
			random := make([]byte, keyBytes)
			if _, err := rand.Read(random); err != nil {
				return errors.Wrap(err, "read random bytes")
			}
			key := hex.EncodeToString(random)
			digest := document.DigestKey(key)
			output := struct {
				Key    string
				Digest string
			}{
				Key:    key,
				Digest: hex.EncodeToString(digest[:]),
			}
			return p.print(output, "key     %s\ndigest  %s\n", output.Key, output.Digest)
		}),
	}
}

func (p *program) shareCommand() *ffcli.Command {
	forget := &ffcli.Command{
		Name:       "forget",
		ShortUsage: "dandelionctl share forget [flags] ADDRESS INCARNATION",
		ShortHelp:  "Declare a run of an instance dead, so that others can take over its shares.",
		LongHelp: "ADDRESS is the instance's peer address and INCARNATION the number of the run; the\n" +
			"status of the other instances shows both. Do this only if the process has certainly\n" +
			"ended: if it is paused and continues later, organisations may exceed their rates.",
		FlagSet: p.flags("dandelionctl share forget"),
		Exec: func(ctx context.Context, arguments []string) error {
			return p.forget(ctx, arguments)
		},
	}
	return &ffcli.Command{
		Name:        "share",
		ShortUsage:  "dandelionctl share forget [flags] ADDRESS INCARNATION",
		ShortHelp:   "Manage the shares of the rates that instances hold.",
		FlagSet:     p.flags("dandelionctl share"),
		Subcommands: []*ffcli.Command{forget},
		Exec: func(context.Context, []string) error {
			return errors.Wrap(errUsage, "the only command is share forget ADDRESS INCARNATION")
		},
	}
}

func (p *program) forget(ctx context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return errors.Wrapf(errUsage, "arguments %q are not ADDRESS INCARNATION", arguments)
	}
	address, err := netip.ParseAddrPort(arguments[0])
	if err != nil {
		return errors.Wrapf(errUsage, "%q is not an IP address and port", arguments[0])
	}
	incarnation, err := strconv.ParseUint(arguments[1], 10, 64)
	if err != nil || incarnation == 0 {
		return errors.Wrapf(errUsage, "%q is not an incarnation, which is a number from 1 up", arguments[1])
	}
	e, client, err := p.settings.newEditor()
	if err != nil {
		return err
	}
	defer client.Close()
	id := instance.ID{
		Address:     instance.Address(address.String()),
		Incarnation: incarnation,
	}
	if err := e.DeclareDead(ctx, id); err != nil {
		return err
	}
	return p.print(id, "%s up to incarnation %d counts as dead\n", id.Address, id.Incarnation)
}

func (p *program) statusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "dandelionctl status [flags] ADMIN...",
		ShortHelp:  "Show the status of instances, given by their admin addresses.",
		LongHelp:   exitHelp,
		FlagSet:    p.flags("dandelionctl status"),
		Exec: func(ctx context.Context, addresses []string) error {
			if len(addresses) == 0 {
				return errors.Wrap(errUsage, "the admin addresses of instances are missing, IP:port")
			}
			return p.status(ctx, addresses)
		},
	}
}

// statusAnswer is the status of one instance, or the error in place of it.
type statusAnswer struct {
	Admin  string
	Status operator.Status
	Error  string
}

func (p *program) status(ctx context.Context, addresses []string) error {
	answers := make([]statusAnswer, len(addresses))
	var group sync.WaitGroup
	for i, a := range addresses {
		group.Go(func() {
			answers[i].Admin = a
			s, err := operator.FetchStatus(ctx, a, statusTimeout)
			answers[i].Status = s
			if err != nil {
				answers[i].Error = err.Error()
			}
		})
	}
	group.Wait()
	if err := p.printStatus(answers); err != nil {
		return err
	}
	return checkConsistency(answers)
}

// checkConsistency returns an error that wraps errFleetInconsistent and names the
// instances that returned no status, don't trust their revision, or are on an older
// revision than the newest.
func checkConsistency(answers []statusAnswer) error {
	var newest uint64
	for _, a := range answers {
		newest = max(newest, a.Status.Revision)
	}
	var problems []string
	for _, a := range answers {
		switch {
		case a.Error != "":
			problems = append(problems, a.Admin+" returned no status")
		case !a.Status.Trusted:
			problems = append(problems, a.Admin+" doesn't trust its revision and admits no requests")
		case a.Status.Revision != newest:
			problems = append(problems, fmt.Sprintf("%s is on revision %d, the newest is %d", a.Admin, a.Status.Revision, newest))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return errors.Wrap(errFleetInconsistent, strings.Join(problems, "; "))
}

func (p *program) printStatus(answers []statusAnswer) error {
	if p.settings.output == outputJSON {
		return json.NewEncoder(p.stdout).Encode(answers)
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ADMIN\tINSTANCE\tZONE\tREVISION\tTRUSTED\tREADY\tLEAVING\tSTORE\tMEMBERS\tSHARES\tSHARDS\tUPTIME")
	for _, a := range answers {
		if a.Error != "" {
			_, _ = fmt.Fprintf(table, "%s\t%s\n", a.Admin, a.Error)
			continue
		}
		s := a.Status
		uptime := time.Duration(s.UptimeSeconds * float64(time.Second)).Round(time.Second)
		_, _ = fmt.Fprintf(table, "%s\t%s#%d\t%s\t%d\t%t\t%t\t%t\t%t\t%d\t%s\t%d\t%v\n",
			a.Admin, s.Address, s.Incarnation, s.Zone, s.Revision, s.Trusted, s.Ready, s.Leaving, s.StoreReachable,
			len(s.Members), usableOfHeld(s.Shares), s.Shards, uptime)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printFindings(p.stdout, answers)
	return nil
}

// usableOfHeld formats the number of usable shares and the number of held shares, as
// in 3/4.
func usableOfHeld(shares []operator.Share) string {
	n := 0
	for _, s := range shares {
		if s.Usable {
			n++
		}
	}
	return fmt.Sprintf("%d/%d", n, len(shares))
}

// printFindings prints the ejections and quarantines of all answers. One that several
// instances report is printed once.
func printFindings(w io.Writer, answers []statusAnswer) {
	seen := map[string]bool{}
	for _, a := range answers {
		for _, e := range a.Status.Ejections {
			line := fmt.Sprintf("ejected      %s/%s by %s: %s", e.Service, e.Target, e.Authority, e.Reason)
			// Without an authority, only this instance avoids the target.
			if e.Authority == "" {
				line = fmt.Sprintf("avoided      %s/%s by %s alone: %s", e.Service, e.Target, a.Status.Address, e.Reason)
			}
			printOnce(w, seen, line)
		}
		for _, q := range a.Status.Quarantines {
			printOnce(w, seen, fmt.Sprintf("quarantined  %s of %s on route %s after %d strikes", q.Fingerprint, q.Organisation, q.Route, q.Strikes))
		}
	}
}

// printOnce prints a line unless it is in seen, and adds it to seen.
func printOnce(w io.Writer, seen map[string]bool, line string) {
	if !seen[line] {
		seen[line] = true
		_, _ = fmt.Fprintln(w, line)
	}
}
