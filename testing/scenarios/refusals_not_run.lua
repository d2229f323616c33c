-- Guards against a "not run" refusal for an order that ran, when the hosts that
-- handle it are killed, responses of the store are lost, and writes take effect
-- late (invariant 6).
start_hosts()
start_traffic(20)
run_for_ms(500)
store{lose = 0.3}
run_for_ms(3000)
store{lose = 0, late = 0.3}
run_for_ms(3000)
store{late = 0}
for round = 1, 3 do
  local key = "claimed " .. round
  local claimer = bucket_owner(key, "a1")
  local entry = claimer == "b1" and "c1" or "b1"
  local first = ask{host = entry, kind = "order", key = key}
  -- Steps of 3 ms, so that the kill occurs before, during and after the claim.
  run_for_ms(20 + 3 * round)
  kill_host(claimer)
  for _, host in ipairs(hosts()) do
    repeat_request{request = first, host = host}
    run_for_ms(150)
  end
  run_for_ms(2500)
  start_host(claimer)
  run_for_ms(4000)
  check(runs{kind = "order", key = key} <= 1, key .. " ran more than once")
end
stop_traffic()
run_for_ms(2000)
check(requests{kind = "order"}.whole > 50, "orders are answered")
