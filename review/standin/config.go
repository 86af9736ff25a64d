package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs                         int
	public                            bool
}

// tenant is a tenant of a configuration.
type tenant struct {
	name      string
	keys      []string
	perSecond int
	burst     int
}

// maxBodyBytes is the limit of a requester's body in all configurations.
const maxBodyBytes = 64 << 20

// configure writes a configuration as the operator does. It returns once that is confirmed.
func (l *lab) configure(version int, routes []route, services []string, tenants []tenant) error {
	routeRows, serviceRows, tenantRows := [][]any{}, [][]any{}, [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, 2000, 1, nil, 2, r.public, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 330, "h1", false})
	}
	for _, t := range tenants {
		tenantRows = append(tenantRows, []any{t.name, t.keys, 1, t.perSecond, t.burst})
	}
	content, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "split", "max_attempts", "public", "service"},
			"rows":    routeRows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": map[string]any{
			"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst"},
			"rows":    tenantRows,
		},
	})
	if err != nil {
		return err
	}
	l.store.put("op/config", content)
	l.notef("configuration %08x confirmed", version)
	return nil
}
