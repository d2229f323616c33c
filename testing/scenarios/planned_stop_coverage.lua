-- Guards against answers that miss a shard because the owner of a leaf stops
-- and the call waits for the takeover (target: at least 99.9% of answers
-- whole).
start_hosts()
start_traffic(10)
run_for_ms(1000)
for _, host in ipairs{"a1", "a2", "b1", "b2", "c1", "c2"} do
  for index = 1, 3 do
    ask{host = host, kind = "query", payload = "stop " .. index}
    ask{host = host, kind = "order", key = "stop " .. host .. index}
  end
  stop_host(host)
  run_until(function() return stopped(host) end, 10000)
  kill_host(host)
  start_host(host)
  run_until(function() return ready(host) end, 10000)
  run_for_ms(2000)
end
stop_traffic()
run_for_ms(1500)
local queries = requests{kind = "query"}
check(queries.whole >= queries.asked * 0.999, queries.whole .. " whole answers of " .. queries.asked)
