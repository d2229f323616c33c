#!/usr/bin/env bash
# make-document.sh SHARDS: prints a document of three zones and one service "order-desk" of SHARDS
# shards with 2 leaves each, on loopback ports from 21000 on.
set -euo pipefail
jq -n --argjson shards "$1" '
  ["zone-a", "zone-b", "zone-c"] as $zones
  | {name: "capacity",
     zones: [$zones[] | {name: ., region: "region", state: "in"}],
     services: [{name: "order-desk", priority: 0, shards: $shards, accepts: ["query"],
       leaves: [range($shards * 2) as $i
         | {name: ("order-desk-leaf-" + ("0000\($i)"[-5:])), address: "127.0.0.1:\(21000 + $i)",
            zone: $zones[(($i / 2 | floor) + $i % 2) % 3], slots: 2, connections: 25}]}]}'
