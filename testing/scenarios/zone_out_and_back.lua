-- Guards against new work in a zone, retries and hedges included, later than
-- 2 s after the document that takes it out of service was accepted, and against
-- lost coverage while the zone goes out of service and returns (invariant 4;
-- target: at least 99.9% of answers whole).
start_hosts()
start_traffic(20)
run_for_ms(2000)
-- Slow leaves in the other zones cause hedges, for which the load leaves enough
-- free slots.
leaf("order-desk-0-0"){service_ms = 25}
leaf("order-desk-2-0"){service_ms = 25}
local since = now_ms()
local out = submit{zone_out = "b"}
run_until(function() return accepted_at_ms(out) end, 1000)
local at = accepted_at_ms(out)
run_for_ms(4000)
check(runs{zone = "b", since_ms = at + 2000} == 0, "the zone gets no new work")
for _, host in ipairs{"b1", "b2"} do
  check(not ready(host), host .. " takes caller requests in a zone that is out")
end
local back = submit{zone_in = "b"}
run_until(function() return accepted_at_ms(back) end, 1000)
local returned = now_ms()
run_for_ms(4000)
check(runs{zone = "b", since_ms = returned} > 0, "the zone gets work again")
check(ready("b1") and ready("b2"), "the hosts of the zone are ready again")
stop_traffic()
run_for_ms(1500)
local counts = requests{kind = "query", since_ms = since}
local share = counts.whole / counts.asked
check(share >= 0.999, "whole answers: " .. counts.whole .. " of " .. counts.asked)
