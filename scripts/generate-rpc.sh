#!/usr/bin/env bash
# Generates the C++ code of the RPC schema. Run it after each change of transport/schema/peer.capnp and
# commit the result.
set -euo pipefail
cd "$(dirname "$0")/../transport"
capnp compile --src-prefix=schema -oc++:lib/generated schema/peer.capnp
