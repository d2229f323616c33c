-- Guards against a leaf that becomes cold without notice under load and gets
-- more than one call at a time from all hosts together before its first
-- completion (invariant 3; target: 1 call until the first proven completion,
-- then never more than its slots).
start_hosts()
start_traffic(20)
run_for_ms(1000)
for round = 1, 4 do
  for _, name in ipairs{"order-desk-0-0", "buckle-screen-0-0", "hide-ledger-0-0"} do
    leaf(name){kill = true}
    run_for_ms(100)
    leaf(name){restart = true}
  end
  run_for_ms(2000)
end
stop_traffic()
run_for_ms(1500)
for _, name in ipairs{"order-desk-0-0", "buckle-screen-0-0", "hide-ledger-0-0"} do
  check(runs{leaf = name} > 0, name .. " ran no calls, so that nothing is shown")
  check(most_running_cold(name) == 1, name .. " ran " .. most_running_cold(name) .. " while cold")
end
