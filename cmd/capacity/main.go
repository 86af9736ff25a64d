// Command capacity measures how the cost of the control plane grows, and prints
// one line for each size, in the format that benchstat reads.
//
// # Usage
//
//	capacity -what members
//	capacity -what requests -instances 40
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/peterbourgon/ff/v3"

	"dandelionmux/internal/capacity"
	"dandelionmux/internal/demo"
)

const (
	// settleSeconds and measureSeconds are the virtual seconds before and during
	// a measurement.
	settleSeconds  = 45
	measureSeconds = 10
)

// sweep is a series of plans in which one quantity grows. Its name is a value of
// the flag -what.
type sweep struct {
	name  string
	sizes []int
	plan  func(size int) capacity.Plan
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command and returns its exit code: 0 on success, 1 if a
// measurement fails and 2 for a bad argument.
func run(arguments []string, out, problems io.Writer) int {
	set := flag.NewFlagSet("capacity", flag.ContinueOnError)
	set.SetOutput(problems)
	what := set.String("what", "members", "members, requests, organisations, services, changes, size, sessions or overhead")
	instances := set.Int("instances", 40, "number of instances in sweeps that do not vary it, 3 to 600")
	largest := set.Int("largest", 540, "largest fleet of the members sweep")
	seed := set.Uint64("seed", 1, "seed of the virtual runs")
	if err := ff.Parse(set, arguments, ff.WithEnvVarPrefix("DANDELIONMUX_CAPACITY")); err != nil {
		return 2
	}
	if *what == "overhead" {
		return overhead(out, problems)
	}
	if *what == "sessions" {
		return sessions(out, problems)
	}
	sweeps := newSweeps(*instances)
	i := slices.IndexFunc(sweeps, func(s sweep) bool { return s.name == *what })
	if i < 0 {
		_, _ = fmt.Fprintf(problems, "capacity: unknown value %q of -what\n", *what)
		return 2
	}
	for _, size := range sweeps[i].sizes {
		if size > *largest && sweeps[i].name == "members" {
			continue
		}
		plan := sweeps[i].plan(size)
		plan.Seed = *seed
		printResult(out, sweeps[i].name, size, capacity.Measure(plan))
	}
	return 0
}

// overhead measures what an instance adds to a request, over real connections.
func overhead(out, problems io.Writer) int {
	if err := demo.Overhead(context.Background(), out); err != nil {
		_, _ = fmt.Fprintln(problems, err)
		return 1
	}
	return 0
}

// sessions measures the memory of sessions between instances.
func sessions(out, problems io.Writer) int {
	for _, count := range []int{40, 80, 160, 320, 540} {
		bytes, err := capacity.Sessions(count)
		if err != nil {
			_, _ = fmt.Fprintln(problems, err)
			return 1
		}
		_, _ = fmt.Fprintf(out, "BenchmarkSessions/sessions=%d 1 %.0f B/session\n", count, bytes)
	}
	return 0
}

// newSweeps returns the sweeps. The fleet has the given number of instances,
// except in those that vary it.
func newSweeps(instances int) []sweep {
	base := capacity.Plan{
		Instances:         instances,
		Organisations:     1000,
		Services:          10,
		TargetsPerService: 10,
		SettleSeconds:     settleSeconds,
		Seconds:           measureSeconds,
	}
	planWith := func(change func(p *capacity.Plan, size int)) func(int) capacity.Plan {
		return func(size int) capacity.Plan {
			p := base
			change(&p, size)
			return p
		}
	}
	return []sweep{
		{
			name:  "members",
			sizes: []int{10, 40, 80, 160, 320, 540},
			plan:  planWith(func(p *capacity.Plan, size int) { p.Instances = size }),
		},
		{
			name:  "requests",
			sizes: []int{0, 22, 44, 88, 176, 352},
			plan: planWith(func(p *capacity.Plan, size int) {
				p.RequestRate = float64(size)
				p.HotFraction = 0.8
			}),
		},
		{
			name:  "organisations",
			sizes: []int{100, 1000, 4000, 19_000},
			plan: planWith(func(p *capacity.Plan, size int) {
				p.Organisations = size
				p.RequestRate = 176
				p.HotFraction = 0.8
			}),
		},
		{
			name:  "services",
			sizes: []int{10, 40, 100, 300},
			plan: planWith(func(p *capacity.Plan, size int) {
				p.Services = size
				p.TargetsPerService = 19
				p.ReportRate = min(size, 100)
			}),
		},
		{
			name:  "changes",
			sizes: []int{0, 1, 2, 4, 8},
			plan: planWith(func(p *capacity.Plan, size int) {
				p.Changes = size
				p.ChangeBytes = 64 << 10
			}),
		},
		{
			name:  "size",
			sizes: []int{540},
			plan: planWith(func(p *capacity.Plan, size int) {
				p.Instances = size
				p.Organisations = 19_000
				p.RequestRate = 176
				p.HotFraction = 0.8
				p.Services = 300
				p.TargetsPerService = 19
				p.ReportRate = 30
			}),
		},
	}
}

// printResult writes a result as a benchmark line, and below it the traffic of
// each component as comments.
func printResult(out io.Writer, name string, size int, r capacity.Result) {
	_, _ = fmt.Fprintf(out, "BenchmarkCapacity/%s=%d 1 %.2f msg/s %.0f B/s %.5f core %.0f heap-B %.2f store-calls/s %.3f asked %.4f refused %d shares\n",
		name, size, r.MessageRate, r.ByteRate, r.Cores, r.Heap, r.StoreCallRate, r.AskedFraction, r.RefusedFraction, r.Shares)
	components := make([]string, 0, len(r.Components))
	for c := range r.Components {
		components = append(components, c)
	}
	slices.Sort(components)
	for _, c := range components {
		_, _ = fmt.Fprintf(out, "# %s: %.2f msg/s, %.0f B/s sent\n", c, r.Components[c].Messages, r.Components[c].Bytes)
	}
}
