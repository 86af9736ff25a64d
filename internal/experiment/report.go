package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"dandelionmux/pkg/placement"
)

// Row is one line of the table: a measurement under the baseline and under the
// fleet's policy.
type Row struct {
	// Point names what is measured.
	Point string
	// Aim is the objective for the fleet's policy.
	Aim string
	// Plain and Fleet are the results under the two policies.
	Plain string
	Fleet string
}

// Size sets the length of the experiment.
type Size struct {
	// Seeds is the number of runs of each fault.
	Seeds int
	// Hours is the virtual time of each kind of noise, at a service with 14
	// targets.
	Hours int
}

// Outcome holds all results of the experiment.
type Outcome struct {
	Rows       []Row
	Detections []Detection
}

// Run runs the whole experiment. Its seeds are fixed, so its results are
// reproducible.
func Run(size Size) Outcome {
	var o Outcome
	for _, f := range Faults {
		for _, rate := range []float64{20, 2} {
			for _, targets := range []int{6, 14} {
				o.detect(f, targets, rate, size.Seeds)
			}
		}
	}
	for i, n := range Noises {
		ejections := CountFalseEjections(n, 14, 2, uint64(1_000_000*i), time.Duration(size.Hours)*time.Hour)
		o.Rows = append(o.Rows, Row{
			Point: "false ejections, " + n.Name,
			Aim:   "under 1 in 10,000 target-hours",
			Plain: "none: never ejects",
			Fleet: fmt.Sprintf("%d in %d target-hours", ejections, 14*size.Hours),
		})
	}
	o.load()
	for _, c := range []struct{ instances, targets int }{{40, 6}, {40, 14}, {540, 6}, {540, 19}} {
		subset, connections := placement.Plan(c.instances, c.targets, 330, slots)
		o.Rows = append(o.Rows, Row{
			Point: fmt.Sprintf("connections to a server, %d instances, %d targets (mean)", c.instances, c.targets),
			Aim:   "at most 330",
			Plain: fmt.Sprint(c.instances * slots),
			Fleet: fmt.Sprint(c.instances * subset * connections / c.targets),
		})
	}
	return o
}

// faultDuration is how long a target stays faulty.
const faultDuration = 15 * time.Second

// detect measures the detection of one fault and adds its row.
func (o *Outcome) detect(f Fault, targets int, rate float64, seeds int) {
	d := Detect(f, targets, rate, faultDuration, seeds)
	o.Detections = append(o.Detections, d)
	aim := "not stated"
	switch {
	case f.Name == Faults[0].Name && rate == 20:
		aim = "out within 2 s"
	case f.Name == Faults[0].Name, f.Name == Faults[1].Name:
		aim = "out within 5 s"
	}
	o.Rows = append(o.Rows, Row{
		Point: fmt.Sprintf("%s, %v req/s, %d targets", f.Name, rate, targets),
		Aim:   aim,
		Plain: "never out",
		Fleet: fmt.Sprintf("out: median %.1f s, p90 %.1f s, missed %d of %d, wrong %d; back: median %.1f s, within 10 s %.0f%%",
			Quantile(d.EjectionTimes, 0.5).Seconds(), Quantile(d.EjectionTimes, 0.9).Seconds(), d.Missed, seeds, d.FalseEjections,
			Quantile(d.ReturnTimes, 0.5).Seconds(), 100*d.ReturnedWithin(10*time.Second)),
	})
}

// load measures fairness, retries and poison requests, and adds their rows.
func (o *Outcome) load() {
	for _, slow := range []bool{false, true} {
		plain, fleet := MeasureFairness(Plain, slow, 1), MeasureFairness(Fleet, slow, 1)
		text := func(f Fairness) string {
			return fmt.Sprintf("worst other: success %.1f%%, p99 %.2f times calm", 100*f.MinSuccessRatio, f.MaxLatencyRatio)
		}
		o.Rows = append(o.Rows, Row{
			Point: fleet.Name,
			Aim:   "success at least 99%, p99 at most 1.5 times calm",
			Plain: text(plain),
			Fleet: text(fleet),
		})
	}
	o.Rows = append(o.Rows, Row{
		Point: "attempts for each request in a full outage",
		Aim:   "at most 1.1",
		Plain: fmt.Sprintf("%.2f", AttemptsInOutage(Plain, 1)),
		Fleet: fmt.Sprintf("%.2f", AttemptsInOutage(Fleet, 1)),
	}, Row{
		Point: "targets killed by a poison request sent ten times",
		Aim:   "at most 2",
		Plain: fmt.Sprint(PoisonCrashes(Plain)),
		Fleet: fmt.Sprint(PoisonCrashes(Fleet)),
	})
}

// WriteTable writes the rows as a table of aligned columns.
func (o Outcome) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	lines := []string{"point\taim\tplain\tfleet"}
	for _, r := range o.Rows {
		lines = append(lines, strings.Join([]string{r.Point, r.Aim, r.Plain, r.Fleet}, "\t"))
	}
	if _, err := fmt.Fprintln(t, strings.Join(lines, "\n")); err != nil {
		return errors.Wrap(err, "write table")
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// WriteCSV writes the rows as comma-separated values.
func (o Outcome) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	records := [][]string{{"Point", "Aim", "Plain", "Fleet"}}
	for _, r := range o.Rows {
		records = append(records, []string{r.Point, r.Aim, r.Plain, r.Fleet})
	}
	if err := c.WriteAll(records); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	return nil
}

// maxPlottedFaults is the number of faults that the plot shows, the first ones.
const maxPlottedFaults = 4

// SavePlot draws the cumulative distribution of the ejection times, for 20 requests
// a second to each of 14 targets, and writes it to path. The extension of path
// sets the format of the image.
func (o Outcome) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Time from fault to ejection, 14 targets, 20 req/s"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "part of the runs out"
	var lines []any
	for _, d := range o.Detections {
		if d.Targets != 14 || d.Rate != 20 || len(lines) >= 2*maxPlottedFaults {
			continue
		}
		points := make(plotter.XYs, len(d.EjectionTimes))
		for i, t := range d.EjectionTimes {
			points[i].X = t.Seconds()
			points[i].Y = float64(i+1) / float64(len(d.EjectionTimes)+d.Missed)
		}
		lines = append(lines, d.Fault, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw plot")
	}
	if err := p.Save(6*vg.Inch, 4*vg.Inch, path); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
