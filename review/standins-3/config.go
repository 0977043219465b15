package main

import (
	"encoding/json"
)

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS, targetMS, attempts     int
}

// writeConfiguration writes the configuration as the operator does.
func (f *fleet) writeConfiguration(version int, routes []route) {
	var resources []map[string]any
	for _, r := range routes {
		resources = append(resources, map[string]any{
			"resource_kind": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{"host": r.host, "path_prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.targetMS,
				"priority": 1, "service": r.service, "max_attempts": r.attempts},
		})
	}
	services := map[string]bool{}
	for _, m := range f.machines {
		if name := m.server.service; !services[name] {
			services[name] = true
			resources = append(resources, map[string]any{
				"resource_kind": "services", "metadata": map[string]any{"name": name},
				"spec": map[string]any{"health_path": "/healthz", "max_connections": 330, "protocol": "h1", "tls": false},
			})
		}
	}
	resources = append(resources, map[string]any{
		"resource_kind": "limits", "metadata": map[string]any{},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	spec, err := json.Marshal(map[string]any{"version": version, "resources": resources})
	if err != nil {
		panic(err)
	}
	f.store.Write("config", "main", spec)
	f.rec.log("operator: configuration %d written and acknowledged", version)
}
