-- Guards against more than one call at a time on a cold leaf whose process is
-- replaced so quickly that no connection attempt is refused, so that hosts do
-- not notice the restart (invariant 3).
start_hosts()
start_traffic(20)
run_for_ms(1000)
for round = 1, 4 do
  for _, name in ipairs{"order-desk-0-0", "buckle-screen-0-0", "hide-ledger-0-0"} do
    leaf(name){kill = true, restart = true}
  end
  run_for_ms(2000)
end
stop_traffic()
run_for_ms(1500)
for _, name in ipairs{"order-desk-0-0", "buckle-screen-0-0", "hide-ledger-0-0"} do
  check(most_running_cold(name) == 1, name .. " ran " .. most_running_cold(name) .. " while cold")
end
