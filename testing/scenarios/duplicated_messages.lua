-- Guards against an order that runs twice, or a caller that gets two replies,
-- when messages between hosts are lost or duplicated (invariants 5 and 7).
start_hosts()
message_faults(0.05, 0.3)
start_traffic(20)
run_for_ms(5000)
message_faults(0, 0)
stop_traffic()
run_for_ms(3000)
for number = 1, 5 do
  check(runs{kind = "order", key = "order " .. number} <= 1, "order " .. number .. " ran twice")
end
check(requests{kind = "order"}.whole > 100, "orders are answered")
