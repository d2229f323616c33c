-- Guards against a caller that receives another caller's answer, or two
-- answers, when leaves swap answers or answer after the deadline (invariant 5).
start_hosts()
start_traffic(20)
run_for_ms(500)
for _, name in ipairs{"order-desk-0-0", "order-desk-3-1", "buckle-screen-0-2", "hide-ledger-0-1"} do
  leaf(name){crossed = true}
end
run_for_ms(2000)
for _, name in ipairs{"order-desk-0-0", "order-desk-3-1", "buckle-screen-0-2", "hide-ledger-0-1"} do
  leaf(name){crossed = false, service_ms = 600}
end
local since = now_ms()
for index = 1, 30 do
  ask{host = "a2", kind = "query", payload = "late " .. index, deadline_ms = 150}
  ask{host = "b2", kind = "lookup", key = "late " .. index, deadline_ms = 60}
  run_for_ms(20)
end
run_for_ms(2000)
stop_traffic()
run_for_ms(1500)
local counts = requests{since_ms = since}
check(counts.unanswered == 0, counts.unanswered .. " requests got no reply")
