-- Guards against more than 3 calls per second to the platform, watches
-- included, while nothing changes (target of section 1.3). Requests of callers
-- alone cause no platform calls.
start_hosts()
run_for_ms(20000)
local before = platform_calls()
run_for_ms(60000)
local calls = platform_calls() - before
check(calls <= 180, calls .. " calls in 60 s")
for index = 1, 200 do
  ask{host = "a1", kind = "query", payload = "rest " .. index % 5}
  ask{host = "b1", kind = "lookup", key = "rest " .. index % 5}
  run_for_ms(100)
end
local busy = platform_calls() - before - calls
check(busy <= 60, busy .. " calls in 20 s of queries")
