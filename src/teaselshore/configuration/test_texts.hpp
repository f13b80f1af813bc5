#pragma once

namespace teaselshore {

/// @brief Valid configuration that uses every key.
constexpr const char* validText = R"(revision-note: "spring prices"
regions:
  - name: r1
    zones: [za, zb]
links:
  default: {delay-ms: 5, cost-per-gb: 0.01}
  pairs:
    - {between: [za, zb], delay-ms: 7.5}
host-classes:
  - {name: gpu, accelerators: 8}
prices:
  - {zone: za, class: gpu, reclaimable: 2.1, on-demand: 6.0, reclaim-risk-per-hour: 0.05}
commitment: {hourly: 40.0}
classes:
  - name: interactive
    priority: 0
    first-token-ms: 530
    between-tokens-ms: 38
    deadline-ms: 30000
workspaces:
  - {name: households, share: 5}
  - {name: depot}
services:
  - name: assistant
    kind: engine
    model: assistant-7b
    depends-on: [ordering]
    versions:
      - {name: v1}
      - {name: v2, move-by: "2026-12-04T18:00:00Z"}
    upstreams:
      - {id: e1, zone: za, address: "127.0.0.1:9001", version: v1, host-class: gpu, reclaimable: true, capacity: 32}
      - {id: e2, zone: zb, address: "127.0.0.1:9002", version: v2, host-class: gpu, capacity: 32}
    routes:
      - {name: chat, path: /v1/chat/completions, class: interactive, idempotent: true}
  - name: ordering
    kind: plain
    outcome-lookup: /executions/
    upstreams:
      - {id: o1, zone: za, address: "127.0.0.1:9101"}
    routes:
      - {name: place-order, path: /orders, method: POST, class: interactive, idempotent: false}
      - {name: order-status, path: /orders/, method: GET, class: interactive}
      - {name: any-order, path: /orders, class: interactive, idempotent: true}
)";

/// @brief Valid daemon settings that use every key.
constexpr const char* validSettings = R"(node: node-1
region: jm-south
zone: portmore-a
listen: {address: 127.0.0.1, port: 20001}
admin: {address: 127.0.0.1, port: 20101}
peer: {address: 127.0.0.1, port: 20201}
platform: 127.0.0.1:20000
log-level: debug
retries: {budget-ratio: 0.2, backoff-base-ms: 10, backoff-cap-ms: 100}
circuit-breaker: {failures: 3, open-ms: 500}
timeouts: {connect-ms: 100, idle-ms: 1000, drain-ms: 5000}
limits: {max-body-bytes: 65536, max-open-requests: 100, max-pending-stream-bytes: 4096}
membership: {probe-period-ms: 200, probe-timeout-ms: 50, suspicion-ms: 1000}
journal: {max-owners: 3, writes-per-second: 50}
platform-budget: {calls-per-second: 10, burst: 20}
)";

} // namespace teaselshore
