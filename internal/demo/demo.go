package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"text/tabwriter"
	"time"
)

// Option configures a demo.
type Option func(*options)

type options struct {
	keep   bool
	logger *slog.Logger
}

// WithKeep keeps the fleet running after the results are printed, until the
// context ends.
func WithKeep(keep bool) Option {
	return func(o *options) { o.keep = keep }
}

// WithLogger sets the logger of the instances. By default they don't log.
func WithLogger(l *slog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// finding is the result of checking one property: what was measured, within
// which bound it had to be, and whether it was.
type finding struct {
	property string
	measured string
	bound    string
	holds    bool
}

// step injects one fault and checks the properties that must hold meanwhile.
type step struct {
	title string
	run   func(context.Context, *fleet) ([]finding, error)
}

var steps = []step{
	{"two organisations, one at five times its rate", overRate},
	{"a key is withdrawn", withdrawKey},
	{"a target is marked as leaving", markTargetLeaving},
	{"a target fails half of its requests and passes its probes", grayTarget},
	{"the store becomes unreachable", loseStore},
	{"an instance stops", stopInstance},
}

// Run runs the demo and prints a table of its findings. It returns how many
// properties didn't hold. An error means that the demo itself failed; it is an
// *Error.
func Run(ctx context.Context, out io.Writer, list ...Option) (failed int, err error) {
	o := options{
		logger: slog.New(slog.DiscardHandler),
	}
	for _, set := range list {
		set(&o)
	}
	printf(out, "starting a store, an instance list, %d targets and %d instances", targetCount, instanceCount)
	f, err := newFleet(ctx, o.logger, demoConfig)
	if err != nil {
		return 0, err
	}
	defer f.close()
	var findings []finding
	for _, s := range steps {
		printf(out, "%s", s.title)
		found, err := s.run(ctx, f)
		if err != nil {
			return 0, wrap(s.title, err)
		}
		findings = append(findings, found...)
	}
	failed = printTable(out, findings)
	if o.keep {
		f.printCommands(out)
		<-ctx.Done()
	}
	return failed, nil
}

// printf prints one line of the demo's progress.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, "- "+format+"\n", args...)
}

// printTable prints the findings and returns how many properties didn't hold.
func printTable(out io.Writer, findings []finding) int {
	failed := 0
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nProperty\tMeasured\tBound\t")
	for _, f := range findings {
		result := "holds"
		if !f.holds {
			result = "BROKEN"
			failed++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", f.property, f.measured, f.bound, result)
	}
	_ = table.Flush()
	return failed
}

// within returns the finding for a condition that must become true within a
// bound. met reports whether it became true, after the time took.
func within(property string, took time.Duration, met bool, bound time.Duration) finding {
	measured := took.Round(10 * time.Millisecond).String()
	if !met {
		measured = "not within " + measured
	}
	return finding{
		property: property,
		measured: measured,
		bound:    "within " + bound.String(),
		holds:    met && took <= bound,
	}
}

// none returns the finding for an event that must never happen, and happened
// count times.
func none(property string, count int) finding {
	return finding{
		property: property,
		measured: fmt.Sprint(count),
		bound:    "0",
		holds:    count == 0,
	}
}

// Error is a failure of the demo itself, as opposed to a property that didn't
// hold.
type Error struct {
	// Step is the title of the step that failed, or "start".
	Step  string
	cause error
}

// Error implements error.
func (e *Error) Error() string { return "demo: " + e.Step + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

func wrap(step string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{
		Step:  step,
		cause: err,
	}
}
