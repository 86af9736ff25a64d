package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"dandelionmux/internal/standin"
	"dandelionmux/pkg/document"
)

const (
	// maxApplyDelay and maxDetectTime are requirements of the users, as in
	// docs/PROVED.md: how long an edit of the document may take to apply on all
	// instances, and how long it may take until all instances have ejected a
	// failing target.
	maxApplyDelay = 13 * time.Second
	maxDetectTime = 5 * time.Second
	// loadDuration is how long overRate and loseStore send requests, and
	// backgroundDuration how long withBackgroundLoad does.
	loadDuration       = 4 * time.Second
	backgroundDuration = 12 * time.Second
	// steadyLoadFraction is the fraction of its rate that the steady organisation
	// uses.
	steadyLoadFraction = 0.6
	// slowFactor makes requests so slow that they still run when an instance
	// stops.
	slowFactor = 50
	// greedyFactor is how many times its rate the greedy organisation sends.
	greedyFactor = 5
	// maxLossFraction is the fraction of the requests within the rate that may
	// fail.
	maxLossFraction = 0.001
)

var (
	steadyCaller = standin.Caller{
		Organisation: steady,
		Key:          steadyKey,
		PerSecond:    steadyRate * steadyLoadFraction,
	}
	greedyCaller = standin.Caller{
		Organisation: greedy,
		Key:          greedyKey,
		PerSecond:    greedyRate * greedyFactor,
	}
)

// overRate sends requests of one organisation within its rate and of one far over
// its rate. It checks that the second one gets no more than its rate, and that
// the first one isn't affected.
func overRate(ctx context.Context, f *fleet) ([]finding, error) {
	summary, err := f.load(ctx, loadDuration, http.MethodPost, steadyCaller, greedyCaller)
	if err != nil {
		return nil, err
	}
	allowed := greedyBurst + int(greedyRate*(summary.Seconds+1))
	steadySummary := callerSummary(summary, steady)
	greedySummary := callerSummary(summary, greedy)
	return []finding{
		{
			property: "requests that ran for the organisation over its rate",
			measured: fmt.Sprintf("%d of %d", greedySummary.Whole, greedySummary.Sent),
			bound:    fmt.Sprintf("at most %d", allowed),
			holds:    greedySummary.Whole <= allowed && greedySummary.Whole > 0,
		},
		lossFinding("answered for the organisation within its rate", steadySummary),
		none("requests that ran more than once", summary.Executions.Repeated),
		none("refused as not-run, and ran", summary.Executions.NotRunButRan),
		none("targets that saw a caller's key", f.keysSeen()),
	}, nil
}

// lossFinding returns the finding for requests within the rate, of which at most
// maxLossFraction may fail.
func lossFinding(property string, s standin.CallerSummary) finding {
	lost := s.Sent - s.Whole
	return finding{
		property: property,
		measured: fmt.Sprintf("%d of %d", s.Whole, s.Sent),
		bound:    "all but 0.1%",
		holds:    s.Sent > 0 && float64(lost) <= maxLossFraction*float64(s.Sent),
	}
}

// callerSummary returns the summary of one organisation.
func callerSummary(s standin.Summary, organisation string) standin.CallerSummary {
	for _, c := range s.Organisations {
		if c.Organisation == organisation {
			return c
		}
	}
	return standin.CallerSummary{}
}

// keysSeen returns how many requests carried a caller's key to a target.
func (f *fleet) keysSeen() int {
	n := 0
	for _, t := range f.targets {
		n += int(t.Counts().KeysSeen)
	}
	return n
}

// withdrawKey withdraws a key and waits until all instances refuse it, also on
// connections that were opened before.
func withdrawKey(ctx context.Context, f *fleet) ([]finding, error) {
	before := f.statuses(withdrawnKey)
	f.document.Organisations[2].KeyDigests = nil
	if err := f.writeDocument(ctx, document.Organisations); err != nil {
		return nil, err
	}
	took, stopped := eventually(ctx, maxApplyDelay, func() bool {
		return all(f.statuses(withdrawnKey), http.StatusUnauthorized)
	})
	return []finding{
		{
			property: "the key worked before",
			measured: fmt.Sprint(before),
			bound:    "200 on each instance",
			holds:    all(before, http.StatusOK),
		},
		within("a withdrawn key stops on all instances", took, stopped, maxApplyDelay),
	}, nil
}

// statuses sends one request with the key through each instance and returns the
// statuses.
func (f *fleet) statuses(key string) []int {
	var list []int
	for _, url := range f.entries() {
		list = append(list, requestStatus(url, key))
	}
	return list
}

// requestStatus sends one request with the key and returns the status, or 0 if
// it failed.
func requestStatus(url, key string) int {
	r, err := http.NewRequest(http.MethodGet, url+"/bookings", nil)
	if err != nil {
		return 0
	}
	r.Header.Set("X-Api-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// all reports whether all statuses in a list that isn't empty are the wanted one.
func all(list []int, want int) bool {
	for _, s := range list {
		if s != want {
			return false
		}
	}
	return len(list) > 0
}

// withBackgroundLoad runs the action while the steady organisation sends
// requests for backgroundDuration, and returns the summary of these.
func (f *fleet) withBackgroundLoad(ctx context.Context, method string, action func() error) (standin.Summary, error) {
	type outcome struct {
		summary standin.Summary
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan outcome, 1)
	go func() {
		s, err := f.load(ctx, backgroundDuration, method, steadyCaller)
		ended <- outcome{
			summary: s,
			err:     err,
		}
	}()
	if err := action(); err != nil {
		return standin.Summary{}, err
	}
	o := <-ended
	return o.summary, o.err
}

// markTargetLeaving marks a target as leaving in the document and waits until it
// receives no more requests.
func markTargetLeaving(ctx context.Context, f *fleet) ([]finding, error) {
	leavingTarget := f.targets[0]
	var took time.Duration
	var stopped bool
	summary, err := f.withBackgroundLoad(ctx, http.MethodGet, func() error {
		f.document.Services[0].Targets[0].Leaving = true
		if err := f.writeDocument(ctx, document.Services); err != nil {
			return err
		}
		took, stopped = eventually(ctx, maxApplyDelay, func() bool { return receivesNothing(ctx, leavingTarget) })
		return nil
	})
	return []finding{
		within("a leaving target gets no new requests", took, stopped, maxApplyDelay),
		lossFinding("answered meanwhile", summary.All),
	}, err
}

// receivesNothing reports whether no request arrives at a target for 300 ms.
func receivesNothing(ctx context.Context, t *standin.TargetServer) bool {
	const window = 300 * time.Millisecond
	before := t.Counts().Arrived
	timer := time.NewTimer(window)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.Counts().Arrived == before
}

// grayTarget makes a target fail half of its requests but pass its health check,
// and waits until all instances eject it. No healthy target may be ejected.
func grayTarget(ctx context.Context, f *fleet) ([]finding, error) {
	failing := f.targets[1]
	var took time.Duration
	var ejected bool
	summary, err := f.withBackgroundLoad(ctx, http.MethodGet, func() error {
		failing.SetFaults(standin.TargetFaults{
			GrayFraction: 0.5,
		})
		took, ejected = eventually(ctx, maxDetectTime, func() bool { return f.ejected(failing.Name()) })
		return nil
	})
	healthy := 0
	for _, e := range f.instances[0].Status().Ejections {
		if e.Target != failing.Name() {
			healthy++
		}
	}
	failing.SetFaults(standin.TargetFaults{})
	return []finding{
		within("a gray target is ejected on all instances", took, ejected, maxDetectTime),
		none("healthy targets ejected", healthy),
		lossFinding("answered meanwhile", summary.All),
	}, err
}

// ejected reports whether all instances have ejected a target.
func (f *fleet) ejected(name string) bool {
	for _, d := range f.instances {
		found := false
		for _, e := range d.Status().Ejections {
			found = found || e.Target == name
		}
		if !found {
			return false
		}
	}
	return true
}

// loseStore makes the store unreachable and checks that the fleet goes on
// serving.
func loseStore(ctx context.Context, f *fleet) ([]finding, error) {
	f.store.SetFaults(standin.StoreFaults{
		Outage: true,
	})
	defer f.store.SetFaults(standin.StoreFaults{})
	summary, err := f.load(ctx, loadDuration, http.MethodPost, steadyCaller)
	return []finding{
		lossFinding("answered without the store", summary.All),
	}, err
}

// stopInstance stops an instance while requests run in it and further ones
// arrive, because the balancer hasn't noticed the stop yet. The instance must
// answer all of them.
func stopInstance(ctx context.Context, f *fleet) ([]finding, error) {
	stopping := f.instances[len(f.instances)-1]
	for _, t := range f.targets {
		t.SetFaults(standin.TargetFaults{
			SlowFactor: slowFactor,
		})
	}
	var stopErr error
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_, _ = eventually(ctx, startTimeout, func() bool { return f.executed() > 0 })
		stopErr = stopping.Stop(ctx)
	}()
	summary, err := standin.Load{
		Entries:  []string{"http://" + stopping.EntryAddress()},
		Callers:  []standin.Caller{steadyCaller},
		Method:   http.MethodPost,
		Path:     "/bookings",
		Duration: balancerLag / 2,
		Targets:  []string{f.targetURL},
	}.Run(ctx)
	<-stopped
	if err == nil {
		err = stopErr
	}
	f.instances = f.instances[:len(f.instances)-1]
	return []finding{
		none("requests cut or of unknown outcome", summary.All.Unknown+summary.All.Failed),
		{
			property: "requests answered while the instance stopped",
			measured: fmt.Sprintf("%d of %d", summary.All.Whole, summary.All.Sent),
			bound:    "more than 0",
			holds:    summary.All.Whole > 0,
		},
		none("requests that ran more than once", summary.Executions.Repeated),
	}, err
}

// executed returns how many requests the targets have begun to run.
func (f *fleet) executed() int {
	n := 0
	for _, t := range f.targets {
		n += int(t.Counts().Executed)
	}
	return n
}
