// Package models_test verifies the Promela models of the protocols with Spin. For
// each guard of a protocol it also verifies a mutant of the model without that
// guard, which must fail: that shows that the guard is needed and that the model
// would detect its loss.
package models_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// result is the expected result of a verification.
type result int

const (
	holds result = iota
	fails
)

const (
	// runLimit is how long one command may run, also on a busy machine.
	runLimit = 10 * time.Minute
	// memoryLimit is the memory of the verifier in megabytes.
	memoryLimit = 3000
	// depthLimit is the longest path, in steps, that the verifier searches. A
	// model with longer paths fails.
	depthLimit = 3_000_000
)

// models are the verified models and mutants. The flags of a mutant remove one
// guard from its model.
var models = []struct {
	name  string
	file  string
	flags []string
	want  result
	// states is the maximum number of stored states of a model that holds. It
	// isn't checked for mutants.
	states int
}{
	{name: "lend", file: "share_lend.pml", want: holds, states: 4_000_000},
	{name: "lend with a handover", file: "share_lend.pml", flags: []string{"-DMOVE"}, want: holds, states: 4_000_000},
	{name: "lease counted from the arrival of the answer", file: "share_lend.pml", flags: []string{"-DARRIVAL"}, want: fails, states: 4_000_000},
	{name: "lease not shortened by the clock drift", file: "share_lend.pml", flags: []string{"-DNODRIFT"}, want: fails, states: 4_000_000},
	{name: "next borrower doesn't wait", file: "share_lend.pml", flags: []string{"-DEARLY"}, want: fails, states: 4_000_000},
	{name: "borrower goes back to an earlier version", file: "share_lend.pml", flags: []string{"-DNOVERSION"}, want: fails, states: 4_000_000},
	{name: "answer not matched to its request", file: "share_lend.pml", flags: []string{"-DNONUMBER"}, want: fails, states: 4_000_000},
	{name: "answer used after the return", file: "share_lend.pml", flags: []string{"-DRETURNED"}, want: fails, states: 4_000_000},
	{name: "new holder doesn't wait for the old one's borrowers", file: "share_lend.pml", flags: []string{"-DMOVE", "-DNOBUSY"}, want: fails, states: 4_000_000},
	{name: "confirm and reclaim", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DREPLACED=2", "-DWRITES=3"}, want: holds, states: 8_000_000},
	{name: "confirmation counted from the arrival of the answer", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DARRIVAL"}, want: fails, states: 8_000_000},
	{name: "fence while a confirmation is valid", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DNOLAPSE"}, want: fails, states: 8_000_000},
	{name: "claim before the platform lease has ended", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DNOSTORE"}, want: fails, states: 8_000_000},
	{name: "late claim used", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DLATE"}, want: fails, states: 8_000_000},
	{name: "new voter confirms and fences at once", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DNOSILENCE"}, want: fails, states: 8_000_000},
	{name: "new voter doesn't read the records", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DNOREAD"}, want: fails, states: 8_000_000},
	{name: "fence for one Sequence only", file: "share_reclaim.pml", flags: []string{"-DHOPS=0", "-DEXACT"}, want: fails, states: 8_000_000},
	{name: "handover", file: "share_reclaim.pml", flags: []string{"-DREPLACED=0", "-DWRITES=1", "-DHOPS=2"}, want: holds, states: 8_000_000},
	{name: "share handed over but still used", file: "share_reclaim.pml", flags: []string{"-DREPLACED=0", "-DWRITES=1", "-DHOPS=2", "-DRENOUNCE"}, want: fails, states: 8_000_000},
	{name: "duplicated handover accepted twice", file: "share_reclaim.pml", flags: []string{"-DREPLACED=0", "-DWRITES=0", "-DHOPS=2", "-DTWICE"}, want: fails, states: 8_000_000},
	{name: "handover with a new voter", file: "share_reclaim.pml", flags: []string{"-DHOPS=1", "-DREPLACED=1", "-DWRITES=1"}, want: holds, states: 8_000_000},
	{name: "total loss", file: "share_reclaim.pml", flags: []string{"-DTOTAL", "-DREPLACED=0", "-DWRITES=1", "-DRESTARTS=1"}, want: holds, states: 8_000_000},
	{name: "total loss, one instance not asked", file: "share_reclaim.pml", flags: []string{"-DTOTAL", "-DREPLACED=0", "-DWRITES=1", "-DRESTARTS=1", "-DPROOF"}, want: fails, states: 8_000_000},
	{name: "total loss, handover to an unlisted instance", file: "share_reclaim.pml", flags: []string{"-DTOTAL", "-DREPLACED=0", "-DWRITES=1", "-DRESTARTS=1", "-DYOUNG"}, want: fails, states: 8_000_000},
	{name: "claim", file: "claim.pml", want: holds, states: 2_000_000},
	{name: "new authority decides too early", file: "claim.pml", flags: []string{"-DVOUCH_EARLY"}, want: fails, states: 2_000_000},
	{name: "claim without a copy", file: "claim.pml", flags: []string{"-DNO_COPY"}, want: fails, states: 2_000_000},
	{name: "authority not checked again", file: "claim.pml", flags: []string{"-DNO_RECHECK"}, want: fails, states: 2_000_000},
	{name: "attempts not voided on collect", file: "claim.pml", flags: []string{"-DNO_VOID"}, want: fails, states: 2_000_000},
	{name: "own attempts not voided", file: "claim.pml", flags: []string{"-DNO_VOID_OWN"}, want: fails, states: 2_000_000},
	{name: "decision of an earlier authority accepted", file: "claim.pml", flags: []string{"-DOLD_VERDICT"}, want: fails, states: 2_000_000},
	{name: "two requests of a key granted", file: "claim.pml", flags: []string{"-DTWO_ENTRIES"}, want: fails, states: 2_000_000},
	{name: "claim released before its decision", file: "claim.pml", flags: []string{"-DRELEASE_OPEN"}, want: fails, states: 2_000_000},
	{name: "revision", file: "revision.pml", want: holds, states: 4_000_000},
	{name: "revision, two restarts", file: "revision.pml", flags: []string{"-DRESTARTS=2"}, want: holds, states: 4_000_000},
	{name: "revision, operators try twice", file: "revision.pml", flags: []string{"-DRESTARTS=0", "-DTRIES=2"}, want: holds, states: 4_000_000},
	{name: "lower revision accepted", file: "revision.pml", flags: []string{"-DACCEPT_LOWER"}, want: fails, states: 4_000_000},
	{name: "content not checked against its digest", file: "revision.pml", flags: []string{"-DUNCHECKED"}, want: fails, states: 4_000_000},
	{name: "two revisions applied at once", file: "revision.pml", flags: []string{"-DTWO_APPLIES"}, want: fails, states: 4_000_000},
	{name: "head replaced without comparing its version", file: "revision.pml", flags: []string{"-DNO_COMPARE"}, want: fails, states: 4_000_000},
	{name: "head accepted before its swap", file: "revision.pml", flags: []string{"-DUNACCEPTED"}, want: fails, states: 4_000_000},
	{name: "only the watcher serves its revision", file: "revision.pml", flags: []string{"-DNO_RELAY"}, want: fails, states: 4_000_000},
}

var (
	errorCount = regexp.MustCompile(`errors: (\d+)`)
	violation  = regexp.MustCompile(`assertion violated`)
	stateCount = regexp.MustCompile(`(\d+) states, stored`)
	incomplete = regexp.MustCompile(`max search depth too small|out of memory|Search not completed`)
)

// TestModels guards against changes of a model that break a protocol's safety or
// that make the model too weak to detect a missing guard.
func TestModels(t *testing.T) {
	if _, err := exec.LookPath("spin"); err != nil {
		t.Fatal("spin isn't installed; see .ci/run")
	}
	for _, m := range models {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			report := verify(t, m.file, m.flags)
			found := parseCount(t, errorCount, report)
			states := parseCount(t, stateCount, report)
			t.Logf("%d errors, %d states", found, states)
			if m.want == fails {
				// The search of a mutant ends at its first error, so its number of
				// states isn't checked: memoryLimit and runLimit bound it.
				is.True(found > 0)                     // the verifier finds an error in the mutant
				is.True(violation.MatchString(report)) // and the error is a failed assertion
				return
			}
			is.True(states <= m.states)              // within the model's bound
			is.Equal(found, 0)                       // no error
			is.True(!incomplete.MatchString(report)) // the search was exhaustive
		})
	}
}

// verify compiles one model and returns the report of its exhaustive search. The
// flags are given to Spin.
func verify(t *testing.T, file string, flags []string) string {
	t.Helper()
	dir := t.TempDir()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "model.pml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	run(t, dir, "spin", append(append([]string{"-a"}, flags...), "model.pml")...)
	run(t, dir, "gcc", "-w", "-O2", "-DSAFETY", "-DNOCLAIM", "-DNOFAIR", "-DCOLLAPSE",
		fmt.Sprintf("-DMEMLIM=%d", memoryLimit), "-o", "pan", "pan.c")
	return run(t, dir, "./pan", "-n", "-w22", fmt.Sprintf("-m%d", depthLimit))
}

// run runs a command in a folder and returns its output.
func run(t *testing.T, dir, name string, arguments ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), runLimit)
	defer cancel()
	command := exec.CommandContext(ctx, name, arguments...)
	command.Dir = dir
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", name, err, output)
	}
	return string(output)
}

// parseCount returns the number that the pattern's group matches in the report.
func parseCount(t *testing.T, pattern *regexp.Regexp, report string) int {
	t.Helper()
	found := pattern.FindStringSubmatch(report)
	if found == nil {
		t.Fatalf("no number to parse in the report:\n%s", report)
	}
	n, err := strconv.Atoi(found[1])
	if err != nil {
		t.Fatal(err)
	}
	return n
}
