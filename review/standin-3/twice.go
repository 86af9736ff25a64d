package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Load and stops of case 12.
const (
	paymentRate   = 30.0
	paymentWork   = 1500 * time.Millisecond
	paymentBudget = 8 * time.Second
	// secondStop is the time between the two SIGTERMs that a machine gets.
	secondStop    = time.Second
	betweenStops  = 12 * time.Second
	stoppedTwice  = 3
	lossSlackTime = 200 * time.Millisecond
)

// stoppedAt is when a machine got its first SIGTERM.
type stoppedAt struct {
	node *node
	at   time.Time
}

// secondTerm plays case 12: machines that are stopping get a second SIGTERM.
func secondTerm(l *lab) bool {
	zones := []string{"nausori-mill", "baulevu-store", "suva-office"}
	content, err := json.Marshal(configuration(7,
		[][]any{{"r-6sz9frg", hostName, "/xapu221/ny95/", "unsafe", paymentBudget.Milliseconds(), 2000, 0, nil, 2, false, "wuno96b"}},
		[][]any{{"wuno96b", "/health", 360, "h1", false}},
		[][]any{{"sese880", []string{"ctnfzs989anu6wsjnban"}, 1, 200, 200}}))
	if err != nil {
		cannotRun(err.Error())
	}
	l.store.put("op/config", content)
	var servers []*server
	for i, zone := range append(zones, zones...) {
		servers = append(servers, l.startServer(fmt.Sprintf("i-02d9e6b%d", i), "wuno96b", zone, 24, paymentWork))
	}
	nodes := l.startNodes(zones, 2)
	time.Sleep(5 * time.Second)
	c := newCaller(l)
	payment := request{
		key:      "ctnfzs989anu6wsjnban",
		method:   "POST",
		path:     "/xapu221/ny95/2f",
		body:     "grower=17&amount=250",
		deadline: paymentBudget,
	}
	end := time.Now().Add((stoppedTwice + 1) * betweenStops)
	c.group.Go(func() { c.sendAtRate(payment, paymentRate, end) })
	var stops []stoppedAt
	for i := range stoppedTwice {
		time.Sleep(betweenStops)
		n := nodes[2*i]
		stops = append(stops, stoppedAt{
			node: n,
			at:   time.Now(),
		})
		n.terminate()
		time.Sleep(secondStop)
		if l.trouble {
			n.terminate()
		}
	}
	c.group.Wait()
	runs := allRuns(servers)
	c.recordAll(runs)
	return l.judgeLost(c, runs, stops)
}

// judgeLost reports whether a request was lost around the stop of its machine. All servers are
// sound, and none of them is at work for longer than paymentWork: the rule's excuses for broken
// servers, for long work and for used-up time budgets don't apply to what is counted.
func (l *lab) judgeLost(c *caller, runs []run, stops []stoppedAt) bool {
	ranAt := map[string]time.Time{}
	for _, r := range runs {
		ranAt[r.id] = r.at
	}
	lost := 0
	counts := map[int]int{}
	for _, q := range c.requests {
		counts[q.status]++
		at, ran := ranAt[q.id]
		if q.status != 0 || !ran || q.answeredAt.Sub(q.sentAt) > paymentBudget-lossSlackTime {
			continue
		}
		for _, s := range stops {
			// Until 1 s after the grace; the server must not be at work in its last sixth.
			worksUntil := at.Add(paymentWork)
			if s.node != q.node || q.answeredAt.Before(s.at) || q.sentAt.After(s.at.Add(graceTime+time.Second)) ||
				worksUntil.After(s.at.Add(graceTime*5/6)) {
				continue
			}
			lost++
			l.note("LOST: %s to %s, sent %.3f s after its SIGTERM, ran, and its connection ended after %.3f s: %s",
				q.id, q.node.name, q.sentAt.Sub(s.at).Seconds(), q.answeredAt.Sub(q.sentAt).Seconds(), q.failure)
		}
	}
	l.note("%d requests sent, %d runs; answers by status %v", len(c.requests), len(runs), counts)
	l.note("LOST: %d requests that ran got no answer around the stop of their machine; none is allowed", lost)
	return lost > 0
}
