-- Guards against requests that a planned stop cuts off or leaves without a
-- reply: each host in turn stops under load and is replaced (invariant 9;
-- target: 0).
start_hosts()
start_traffic(10)
run_for_ms(1000)
for _, host in ipairs{"a1", "a2", "b1", "b2", "c1", "c2"} do
  for index = 1, 3 do
    ask{host = host, kind = "query", payload = "stop " .. index}
    ask{host = host, kind = "order", key = "stop " .. host .. index}
  end
  stop_host(host)
  local took = run_until(function() return stopped(host) end, 10000)
  check(took <= 10000, host .. " stops in time")
  kill_host(host)
  start_host(host)
  run_until(function() return ready(host) end, 10000)
  run_for_ms(2000)
end
stop_traffic()
run_for_ms(1500)
local counts = requests{}
check(counts.cut == 0, counts.cut .. " requests were cut")
check(counts.unanswered == 0, counts.unanswered .. " requests got no reply")
check(requests{kind = "query"}.refused == 0, "queries were refused")
