package meter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionmux/pkg/meter"
)

// unranked stands for requests of a build that sends no rank.
const unranked = -1

// sheddingService is a service that sheds half of the requests that it gets. Each shed request
// asks for a retry.
type sheddingService struct {
	// perSecond are the requests of each rank that are shed, by rank.
	perSecond map[int]float64
	seed      uint64
}

// rankResult is what a rank has asked for and got.
type rankResult struct{ asked, granted int }

// play has a budget asked for retries from 20 to 60 s, and returns the results and the number of
// retries that the budget could grant. The requests before and meanwhile are the same.
func (s sheddingService) play() (results map[int]rankResult, limit int) {
	const (
		tick  = 10 * time.Millisecond
		begin = 20 * time.Second
		end   = 60 * time.Second
		span  = 10 * time.Second
	)
	b := meter.NewBudget(0, meter.BudgetSettings{Ratio: 0.2, Base: 20, Span: span})
	zones := meter.Zones{Fraction: 1, Count: 1}
	random := rand.New(rand.NewPCG(s.seed, 0))
	shed := 0.0
	for _, perSecond := range s.perSecond {
		shed += perSecond
	}
	results = map[int]rankResult{}
	requests, total := 0.0, 0.0
	for now := time.Second; now < end; now += tick {
		requests += 2 * shed * tick.Seconds()
		for _, rank := range []int{2, 1, 0, unranked} { // the most urgent last
			if now < begin || random.Float64() >= s.perSecond[rank]*tick.Seconds() {
				continue
			}
			var options []meter.TakeOption
			if rank != unranked {
				options = append(options, meter.WithRank(rank))
			}
			d := b.Take(now, "desk", meter.Begun{Requests: int(requests), Over: tick}, zones, options...)
			requests -= float64(int(requests))
			r := results[rank]
			if now >= begin+span { // steady
				r.asked++
				if d.Granted {
					r.granted++
				}
			}
			results[rank] = r
			total = d.Limit
		}
		if now < begin {
			requests = 0
			b.Receive(now, meter.Keeper{Address: "other", StartedAt: time.Millisecond}, meter.Totals{
				Service:  "desk",
				Requests: uint64(2 * shed * now.Seconds()),
			})
		}
	}
	return results, int(total * float64(end-begin-span) / float64(span))
}

// check plays the service with several seeds and checks the use of the budget, and more.
func check(t *testing.T, perSecond map[int]float64, more func(is *is.I, results map[int]rankResult, limit float64)) {
	for seed := range uint64(5) {
		is := is.New(t)
		results, limit := sheddingService{perSecond: perSecond, seed: seed}.play()
		granted := 0
		for rank, r := range results {
			t.Logf("seed %d, rank %d: %d asked, %d granted, limit %d", seed, rank, r.asked, r.granted, limit)
			granted += r.granted
		}
		is.True(float64(granted) >= 0.93*float64(limit)) // nothing is wasted
		is.True(float64(granted) <= 1.1*float64(limit))
		more(is, results, float64(limit))
	}
}

// Guards against less urgent ranks that use up the budget, against ranks that get nothing, and
// against a budget of which a part is reserved for nobody.
func TestBudgetIsSharedByRank(t *testing.T) {
	type byRank map[int]float64
	tests := []struct {
		name      string
		perSecond byRank
		// least is the fraction of what each rank asks for that it gets at least, and shares
		// the part of the budget.
		least, shares byRank
	}{
		{name: "one rank", perSecond: byRank{1: 40}, shares: byRank{1: 0.95}},
		// Its demand varies more than the margin reserved for it.
		{name: "the urgent rank asks for little", perSecond: byRank{0: 2, 1: 38}, least: byRank{0: 0.8}, shares: byRank{1: 0.7}},
		{name: "the urgent rank asks for all", perSecond: byRank{0: 30, 1: 10}, shares: byRank{0: 0.7, 1: 0.19}},
		{name: "the less urgent asks for less than a fifth", perSecond: byRank{0: 39, 1: 1}, least: byRank{1: 0.6}, shares: byRank{0: 0.75}},
		{name: "three ranks ask for all", perSecond: byRank{0: 20, 1: 20, 2: 20}, shares: byRank{0: 0.7, 1: 0.12, 2: 0.03}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			check(t, tt.perSecond, func(is *is.I, results map[int]rankResult, limit float64) {
				for rank, r := range results {
					is.True(float64(r.granted) >= tt.least[rank]*float64(r.asked))
					is.True(float64(r.granted) >= tt.shares[rank]*limit)
				}
			})
		})
	}
}

// Guards against requests of a build that sends no rank being refused what the budget holds, and
// against ranks that lose their order beside them.
func TestBudgetWithAndWithoutRanks(t *testing.T) {
	check(t, map[int]float64{unranked: 10, 0: 10, 1: 20}, func(is *is.I, results map[int]rankResult, _ float64) {
		part := func(rank int) float64 { return float64(results[rank].granted) / float64(results[rank].asked) }
		is.True(part(0) > 1.5*part(1))
		is.True(results[unranked].granted > 0)
		is.True(results[1].granted > 0)
	})
}

// Guards against a rank that no longer asks and for which a part is still reserved.
func TestReserveEndsWithTheDemand(t *testing.T) {
	is := is.New(t)
	b := meter.NewBudget(-time.Minute, meter.BudgetSettings{
		Base: 100, // 65 are granted
		Span: 10 * time.Second,
	})
	zones := meter.Zones{Fraction: 1, Count: 1}
	take := func(now time.Duration, rank int) meter.BudgetDecision {
		return b.Take(now, "desk", meter.Begun{}, zones, meter.WithRank(rank))
	}
	for i := range 30 {
		take(time.Second+time.Duration(i)*10*time.Millisecond, 0)
	}
	lower := 0
	for n := range 80 {
		d := take([]time.Duration{2 * time.Second, 4 * time.Second}[n/40], 1)
		if d.Granted {
			lower++
		}
		is.True(d.Granted || d.Reserved || n >= 40)
		is.True(n != 39 || lower == 13) // a fifth
	}
	is.Equal(lower, 35) // all that is left
}
