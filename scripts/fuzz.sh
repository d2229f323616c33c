#!/usr/bin/env bash
# Builds the libFuzzer targets of config/fuzz and platform/fuzz in build-fuzz/ and runs each for a bounded number of
# inputs and seconds with a fixed seed. build/ is not changed.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly seed=20260101 max_seconds=10
# On an idle machine a run ends at this number of inputs, so that the inputs depend on the seed only.
# On a busy machine the time limit ends it.
readonly max_runs=100000
out=build-fuzz
mkdir -p "$out"

flags=(-std=c++20 -O1 -g1 -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined
  -Iconfig/include -Imodel/include -Ibase/include
  -Ilimits/include -Iforward/include -Igateway/include -Iplatform/include)
compiler=(clang++)
if command -v ccache >/dev/null; then compiler=(ccache clang++); fi

for source in base/lib/*.cc model/lib/*.cc config/lib/*.cc \
  gateway/lib/{feed,group,quota,suspect,version_report}_codec.cc \
  gateway/lib/{endpoint_address,request_fingerprint,http_message}.cc \
  platform/lib/{codec,tenant_codec,platform_settings,store_page,version_shift_codec}.cc \
  forward/lib/{leaf_directory,leaf_record,route_latency,api_key,route_table,version_shift}.cc; do
  object="$out/$(echo "$source" | tr / -).o"
  echo "$source $object"
done >"$out/sources.txt"
xargs -P 4 -L 1 bash -c 'exec "${@:1:$#-2}" -c "${@: -2:1}" -o "${@: -1}"' _ "${compiler[@]}" "${flags[@]}" <"$out/sources.txt"
mapfile -t objects < <(cut -d ' ' -f 2 "$out/sources.txt")

# run_fuzzer PACKAGE NAME SEED_FOLDER
run_fuzzer() {
  local package=$1 name=$2 seed_folder=$3
  clang++ "${flags[@]}" -fsanitize=fuzzer "$package/fuzz/${name}_fuzzer.cc" "${objects[@]}" \
    -lboost_json -lxxhash -o "$out/${name}_fuzzer"
  rm -rf "$out/$name-corpus"
  mkdir "$out/$name-corpus"
  echo "fuzzing $name from seed $seed"
  if ! "$out/${name}_fuzzer" -seed="$seed" -runs="$max_runs" -max_total_time="$max_seconds" \
    -max_len=4096 -rss_limit_mb=1024 -timeout=5 -verbosity=0 -print_final_stats=1 \
    -artifact_prefix="$out/$name-" "$out/$name-corpus" "$seed_folder" >"$out/$name.log" 2>&1; then
    tail -n 60 "$out/$name.log"
    exit 1
  fi
  grep '^stat::' "$out/$name.log"
}

# Writes one valid input of each kind, from which the fuzzers start.
write_seeds() {
  mkdir -p "$out/seeds/caller_request" "$out/seeds/document" "$out/seeds/platform_values"
  printf '0{"service":"order-desk","payload":{"batch":[1,"H7"]},"deadline_ms":250,"least_coverage":0.5}' \
    >"$out/seeds/caller_request/query"
  printf '1{"service":"buckle-screen","key":"order-7","deadline_ms":250}' >"$out/seeds/caller_request/lookup"
  printf '2{"service":"hide-ledger","key":"k1","issued_at_ms":1767225600000,"payload":null}' \
    >"$out/seeds/caller_request/order"
  printf '{"name":"d","zones":[{"name":"a","region":"r","state":"in"}],"services":[{"name":"s","priority":0,"shards":1,"accepts":["query","order"],"leaves":[{"name":"l","address":"127.0.0.1:1","zone":"a","slots":2,"connections":25}]}]}' \
    >"$out/seeds/document/document"
  printf '{"epoch":1,"nonce":"0000000000000001","writer":"w","members":[{"host":"h","incarnation":"0000000000000002","zone":"a","rpc_address":"127.0.0.1:1","http_address":"127.0.0.1:2"}],"departed":[],"document":{"version":1,"hash":"ab"},"history":[{"document":{"version":1,"hash":"ab"},"author":"a","at":1,"note":"n"}]}' \
    >"$out/seeds/document/head"
  printf '{"records":[{"service":"s","key":"k","payload_hash":"0000000000000001","issued_at":1,"claimer":"h","claimer_incarnation":"0000000000000002","nonce":"0000000000000003","state":"done","outcome":"{}","version":4}]}' \
    >"$out/seeds/document/journal"
  local values=$out/seeds/platform_values
  printf '0{"version":7,"routes":[{"name":"g","host":"h","prefix":"/a/","kind":"idempotent","timeout_ms":1200,"gather":["s"],"top_k":5,"min_coverage":0.75},{"name":"p","host":"h","prefix":"/b/","kind":"x","timeout_ms":1,"split":[{"service":"s","weight":1}]}],"services":[{"name":"s","max_conns":2}]}' \
    >"$values/configuration"
  printf '0{"version":7,"routes":[{"name":"o","host":"h","prefix":"/a/","kind":"x","timeout_ms":1,"service":"s","public":true}],"services":[],"tenants":[{"name":"a","api_keys":["k1","k2"],"priority":1,"rate_per_s":2.5,"burst":9,"allowed_regions":["r"]},{"name":"b","key_digests":["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]}]}' \
    >"$values/tenants"
  printf '1{"service":"s","addr":"10.0.0.1:80","zone":"z","slots":2,"state":"ready","cold_left_ms":0}' >"$values/leaf"
  printf '2{"events":[{"key":"a","value":"aGk="},{"key":"b","deleted":true}],"current_rev":3}' >"$values/events"
  printf '3{"node_name":"n","zone":"z","region":"r","listen":{"front":"1.1.1.1:1","ready":"1.1.1.1:2"},"port_range":[1],"platform":{"addr":"a"}}' >"$values/settings"
  printf '4{"address":"1.1.1.1:1","zone":"z","cores":1}' >"$values/host"
  printf '5{"revision":1,"whole":true,"changes":[{"key":"a","value":"aGk="}]}' >"$values/feed"
  printf '6{"fingerprint":"000000000000001f","state":"blocked","ended_leaves":2,"expires_in_ms":600000}' >"$values/suspect"
  printf '7{"from":"h","claims":[{"limit":"tenant/a","region":"r","for":"requests","tokens":2}]}' >"$values/claims"
  printf '7{"grants":[{"limit":"tenant/a","status":"empty","tokens":0,"retry_after_ms":70}]}' >"$values/grants"
  printf ';{"version":1,"digest":2,"shards":[0,3],"allowed_missing":1,"partial_in_ms":80}' >"$values/group"
  printf '8{"service":"s","target_version":"v2","duration_s":20}' >"$values/shift_order"
  printf '9{"service":"s","state":"running","stage":"load","target_version":"v2","order_era":1,"order_revision":2,"step":3,"elapsed_ms":4,"duration_ms":20000,"writer":"h","cause":"","withheld":["v1"]}' \
    >"$values/shift_status"
  printf ':{"host":"h","incarnation":1,"sequence":2,"service":"s","target_version":"v2","order_era":1,"order_revision":2,"step":3,"state":"running","stage":"full","elapsed_ms":4,"old_calls_running":true,"rows":[{"route":"r","zone":"z","leaf":"l","calls":3,"failed":1,"slow":1}]}' \
    >"$values/version_report"
}

write_seeds
run_fuzzer config caller_request "$out/seeds/caller_request"
run_fuzzer config document "$out/seeds/document"
run_fuzzer platform platform_values "$out/seeds/platform_values"
echo "fuzz: passed"
