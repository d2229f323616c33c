-- Guards against an order that runs twice because its claimer is frozen after
-- the claim, another host takes over, and the claimer wakes with its call
-- partly sent (invariant 7).
start_hosts()
start_traffic(25)
run_for_ms(500)
for round = 1, 6 do
  local key = "frozen " .. round
  local claimer = bucket_owner(key, "a1")
  local entry = claimer == "b1" and "c1" or "b1"
  local first = ask{host = entry, kind = "order", key = key}
  run_for_ms(18 + 4 * round)
  freeze_host(claimer)
  for _, host in ipairs(hosts()) do
    if host ~= claimer then
      repeat_request{request = first, host = host}
      run_for_ms(300)
    end
  end
  run_for_ms(2500)
  wake_host(claimer)
  for _, host in ipairs(hosts()) do repeat_request{request = first, host = host} end
  run_for_ms(4000)
  check(runs{kind = "order", key = key} <= 1, key .. " ran more than once")
end
stop_traffic()
run_for_ms(2000)
