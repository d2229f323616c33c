-- Guards against a planned stop that does not wait for requests that run longer
-- than its first grace period of 1.5 s (invariant 9).
start_hosts()
for _, name in ipairs(leaves{prefix = "buckle-screen"}) do leaf(name){service_ms = 600} end
for index = 1, 24 do
  ask{host = "a1", kind = "lookup", key = "long " .. index, deadline_ms = 6000}
end
run_for_ms(50)
stop_host("a1")
run_until(function() return stopped("a1") end, 10000)
kill_host("a1")
run_for_ms(2000)
local counts = requests{kind = "lookup"}
check(counts.cut == 0, counts.cut .. " requests were cut")
check(counts.whole > 8, "only " .. counts.whole .. " were answered, so that nothing is shown")
