-- Guards against new work in a zone that is out of service, sent by a host that
-- was frozen when the document was accepted and then wakes (invariants 4 and
-- 10).
start_hosts()
start_traffic(20)
run_for_ms(1000)
freeze_host("c1")
freeze_host("b1")
run_for_ms(300)
local out = submit{zone_out = "b"}
run_until(function() return accepted_at_ms(out) end, 3000)
run_for_ms(2500)
local woken = now_ms()
for index = 1, 8 do
  ask{host = "c1", kind = "query", payload = "woken " .. index}
  ask{host = "b1", kind = "lookup", key = "woken " .. index}
end
wake_host("c1")
wake_host("b1")
run_for_ms(5000)
check(runs{zone = "b", since_ms = woken} == 0, "a woken host sends work to the zone")
check(version_in_force("c1") >= out, "the woken host adopts the document")
stop_traffic()
run_for_ms(1500)
