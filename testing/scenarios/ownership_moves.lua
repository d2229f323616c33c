-- Guards against two owners that call one leaf at the same time: the owner is
-- frozen with calls partly sent, another host takes over, and the owner wakes
-- (invariants 3 and 7).
start_hosts()
start_traffic(5)
run_for_ms(1000)
for _, name in ipairs{"order-desk-0-0", "hide-ledger-0-1", "buckle-screen-0-2"} do
  leaf(name){service_ms = 150}
  run_for_ms(500)
  local old = owner_of(name, "a1")
  local other = old == "b1" and "c1" or "b1"
  freeze_host(old)
  local moved = run_until(function() return owner_of(name, other) ~= old end, 4000)
  check(moved <= 2700, name .. " moved after " .. moved .. " ms")
  local since = now_ms()
  run_until(function() return runs{leaf = name, since_ms = since} > 0 end, 4000)
  wake_host(old)
  run_for_ms(5000)
  leaf(name){service_ms = 10}
  check(ready(old), old .. " serves again")
end
stop_traffic()
run_for_ms(1500)
