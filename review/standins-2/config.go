package main

// plainConfig has a route of each kind for the service alpha.
const plainConfig = `{"version":7,"resources":[
{"resource_kind":"routes","metadata":{"name":"spend"},"spec":{"host":"a.example","path_prefix":"/spend/","type":"non_idempotent","timeout_ms":4000,"target_latency_ms":1000,"priority":1,"service":"alpha","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"peek"},"spec":{"host":"a.example","path_prefix":"/peek/","type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"alpha","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"root"},"spec":{"host":"b.example","path_prefix":"/","type":"idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"alpha","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"alpha"},"spec":{"health_path":"/healthz","max_connections":330,"protocol":"h1","tls":false}},
{"resource_kind":"services","metadata":{"name":"beta"},"spec":{"health_path":"/healthz","max_connections":330,"protocol":"h1","tls":false}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}`
