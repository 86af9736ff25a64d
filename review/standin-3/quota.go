package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The tenant's usage cap, and how much it asks for.
const (
	quotaRate  = 20
	quotaBurst = 100
	// usualShare is the share of the cap that the tenant usually asks for, and hotFactor how many
	// times as much it sends when it is hot.
	usualShare = 0.625
	hotFactor  = 7.5
	hotTime    = 6500 * time.Millisecond
	calmTime   = 9 * time.Second
	rounds     = 5
	// stopDelay is the time from the beginning of a hot phase to the stop of a machine.
	stopDelay = 1800 * time.Millisecond
)

// Bounds of the rule QUOTA.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// quotaAtHandover plays case 11: a tenant sends many times its usual while the machines are
// restarted in turn.
func quotaAtHandover(l *lab) bool {
	zones := []string{"nausori-mill", "baulevu-store", "suva-office"}
	content, err := json.Marshal(configuration(7,
		[][]any{{"r-27eya6u", hostName, "/lepu270/", "safe", 3000, 2000, 2, nil, 2, false, "huvo11a"}},
		[][]any{{"huvo11a", "/health", 360, "h1", false}},
		[][]any{{"sese880", []string{"ctnfzs989anu6wsjnban"}, 1, quotaRate, quotaBurst}}))
	if err != nil {
		cannotRun(err.Error())
	}
	l.store.put("op/config", content)
	var servers []*server
	for i, zone := range append(zones, zones...) {
		servers = append(servers, l.startServer(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", zone, 60, 20*time.Millisecond))
	}
	l.startNodes(zones, 2)
	time.Sleep(10 * time.Second) // rates are counted over 5 s: all machines know their part
	c := newCaller(l)
	usual := request{
		key:      "ctnfzs989anu6wsjnban",
		method:   "GET",
		path:     "/lepu270/2f",
		deadline: 6 * time.Second,
	}
	end := time.Now().Add(rounds * (calmTime + hotTime))
	c.group.Go(func() { c.sendAtRate(usual, quotaRate*usualShare, end) })
	var stopped *node
	for round := range rounds {
		time.Sleep(calmTime)
		l.note("round %d: the tenant sends %.1f times its usual", round, hotFactor)
		hotUntil := time.Now().Add(hotTime)
		c.group.Go(func() { c.sendAtRate(usual, quotaRate*usualShare*(hotFactor-1), hotUntil) })
		time.Sleep(stopDelay)
		if round > 0 && l.trouble {
			stopped.terminate()
		}
		time.Sleep(time.Until(hotUntil))
		if round == 0 {
			// Machines are restarted in any order: in this one the machine that has refused
			// most in the first round comes first.
			stopped = l.mostLines("rate used up")
		}
	}
	c.group.Wait()
	runs := allRuns(servers)
	c.recordAll(runs)
	return l.judgeQuota(c, runs)
}

// judgeQuota reports whether more requests of the tenant were sent and ran in some window than the
// rule allows.
func (l *lab) judgeQuota(c *caller, runs []run) bool {
	sentAt := map[string]time.Time{}
	counts := map[int]int{}
	for _, q := range c.requests {
		sentAt[q.id] = q.sentAt
		counts[q.status]++
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	slices.SortFunc(runs, func(a, b run) int { return sentAt[a.id].Compare(sentAt[b.id]) })
	most, mostFrom := 0, time.Duration(0)
	for i, first := range runs {
		from := sentAt[first.id]
		inWindow := 0
		for _, r := range runs[i:] {
			if sentAt[r.id].Sub(from) > quotaWindow {
				break
			}
			if r.at.Sub(from) <= quotaWindow {
				inWindow++
			}
		}
		if inWindow > most {
			most, mostFrom = inWindow, from.Sub(l.start)
		}
	}
	l.note("%d requests sent, %d runs; answers by status %v", len(c.requests), len(runs), counts)
	l.note("QUOTA: at most %.1f requests in 5 s are allowed; most were %d, from %.3f s", bound, most, mostFrom.Seconds())
	return float64(most) > bound
}
