package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"dandelionmux/internal/boot"
	"dandelionmux/pkg/store"
)

// isEvacuation reports whether a key of the store requests the evacuation of a zone.
func (g *Gateway) isEvacuation(key string) bool {
	prefix := g.adapters.EvacuationPrefix
	return prefix != "" && strings.HasPrefix(key, prefix)
}

// applyEvacuation applies a key that requests the evacuation of a zone, or its removal. The value
// doesn't matter.
func (st *localState) applyEvacuation(now time.Duration, e store.Entry) {
	zone := strings.TrimPrefix(e.Key, st.gateway.adapters.EvacuationPrefix)
	log := st.gateway.logger
	if e.Version > 0 {
		if st.evacuated.Begin(now, zone) {
			log.Warn("evacuation of zone begins",
				slog.String("EvacuatedZone", zone),
				slog.Int64("Counter", e.Version),
				slog.Duration("Unconfirmed", st.origin.Unconfirmed))
		}
		return
	}
	if st.evacuated.End(now, zone, st.setBack) {
		st.logEvacuationEnd(zone, false)
	} else if st.setBack {
		log.Warn("evacuation of zone lost by the store, it stays in force for now",
			slog.String("EvacuatedZone", zone),
			slog.Int64("Counter", e.RemovedAt))
	}
}

func (st *localState) logEvacuationEnd(zone string, lost bool) {
	st.gateway.logger.Warn("evacuation of zone ends",
		slog.String("EvacuatedZone", zone),
		slog.Bool("Lost", lost))
}

// expireEvacuations ends the evacuations that the store has lost for too long. The caller must
// hold mu.
func (st *localState) expireEvacuations(now time.Duration) {
	for _, zone := range st.evacuated.Expire(now) {
		st.logEvacuationEnd(zone, true)
	}
}

// isEvacuated reports whether the targets of a zone get no requests. The caller must hold mu.
func (st *localState) isEvacuated(zone string) bool {
	return st.evacuated.Any() && st.evacuated.Evacuated(boot.Now(), zone)
}

// writeZoneMetrics writes a gauge for each evacuated zone, and the number of cold targets.
func (g *Gateway) writeZoneMetrics(w io.Writer, now time.Duration) {
	var zones []string
	cold := 0
	st := g.state
	st.withLock(func() {
		zones = st.evacuated.List(now)
		for service, list := range st.targets.Services() {
			p := st.warmUpPolicy(service)
			for _, r := range list {
				if st.warmUps.Cold(now, r.Target.Name, p) {
					cold++
				}
			}
		}
	})
	for _, zone := range zones {
		_, _ = fmt.Fprintf(w, "Evacuation.%s 1\n", zone)
	}
	_, _ = fmt.Fprintf(w, "WarmUp.Cold %d\n", cold)
}
