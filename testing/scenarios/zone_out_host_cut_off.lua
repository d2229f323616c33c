-- Guards against new work in a zone that is out of service, sent by a host that
-- was cut off from its peers, the store or both when the document was accepted
-- (invariants 4 and 10).
start_hosts()
start_traffic(20)
run_for_ms(1000)
isolate_host("c1")
cut_store("c1")
isolate_host("b1")
run_for_ms(100)
local out = submit{zone_out = "b"}
run_until(function() return accepted_at_ms(out) end, 3000)
local at = accepted_at_ms(out)
for step = 1, 40 do
  ask{host = "c1", kind = "query", payload = "cut off " .. step, deadline_ms = 400}
  ask{host = "b1", kind = "lookup", key = "cut off " .. step, deadline_ms = 400}
  run_for_ms(100)
end
check(runs{zone = "b", since_ms = at + 2000} == 0, "a cut off host sends work to the zone")
isolate_host("c1", false)
cut_store("c1", false)
isolate_host("b1", false)
run_for_ms(6000)
check(version_in_force("c1") >= out, "the host adopts the document when it is back")
check(runs{zone = "b", since_ms = at + 2000} == 0, "the zone gets no work after the return")
stop_traffic()
run_for_ms(1500)
