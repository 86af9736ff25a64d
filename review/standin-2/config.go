package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, attempts               int
	public                            bool
}

// tenant is a tenant of a configuration.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst int
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, services []string, tenants []tenant) []byte {
	type table struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	}
	r := table{Columns: []string{"name", "host", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "split", "max_attempts", "public", "service"}}
	for _, x := range routes {
		r.Rows = append(r.Rows, []any{x.name, x.host, x.prefix, x.kind, x.timeoutMs, 2000, 1, nil, x.attempts, x.public, x.service})
	}
	s := table{Columns: []string{"name", "health_path", "max_connections", "protocol", "tls"}}
	for _, x := range services {
		s.Rows = append(s.Rows, []any{x, "/health", 360, "h1", false})
	}
	t := table{Columns: []string{"name", "api_keys", "priority", "rate_per_s", "burst"}}
	for _, x := range tenants {
		t.Rows = append(t.Rows, []any{x.name, x.keys, 1, x.rate, x.burst})
	}
	content, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": r, "services": s, "tenants": t,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return content
}

// registration returns what a server says of itself in the store.
func registration(service, address, zone, state string, slots, seq int, born int64) []byte {
	content, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
		"state": state, "warmup_left_ms": 0, "seq": seq, "born": born,
	})
	if err != nil {
		panic(err)
	}
	return content
}
