-- Guards against queries and lookups that depend on the store, and against
-- orders that run or are refused with a wrong cause while it is down (target:
-- queries and lookups unaffected for a minute; refusals of orders state the
-- truth).
start_hosts()
start_traffic(20)
run_for_ms(2000)
store{down = true}
local since = now_ms()
run_for_ms(2000)
local late = now_ms()
local first = ask{host = "a1", kind = "order", key = "in the outage"}
run_for_ms(56500)
local last = ask{host = "b1", kind = "order", key = "late in the outage"}
run_for_ms(1500)
expect{request = first, outcome = "refusal", error = "store_unavailable"}
expect{request = last, outcome = "refusal", error = "store_unavailable"}
check(reply(last).retry_after_ms > 0, "a refused order states when to come back")
for _, kind in ipairs{"query", "lookup"} do
  local counts = requests{kind = kind, since_ms = since}
  -- The last requests are still running. Partial answers also occur without a
  -- fault, so their bound is that of the coverage target.
  check(counts.refused == 0, kind .. ": " .. counts.refused .. " refused")
  check(counts.unanswered <= 5, kind .. ": " .. counts.unanswered .. " without a reply")
  check(counts.partial <= counts.asked * 0.001, kind .. ": " .. counts.partial .. " partial of " .. counts.asked)
end
check(runs{kind = "order", since_ms = late} == 0, "orders ran without a claim")
store{down = false}
run_for_ms(4000)
local again = repeat_request{request = first}
run_for_ms(1500)
expect{request = again, outcome = "answer"}
check(runs{kind = "order", key = "in the outage"} == 1, "the repeat runs once")
stop_traffic()
run_for_ms(1500)
