-- Guards against a host that accepts work on the basis of stale reads, when all
-- reads are stale, and against a host that does not join soon after reads are
-- fresh again (invariant 10).
start_hosts()
submit{region = "region-1"}
run_for_ms(1500)
local version = submit{region = "region-2"}
run_until(function() return accepted_at_ms(version) end, 1000)
store{stale = true}
start_host("a3")
for step = 1, 500 do
  run_for_ms(20)
  check(not holds_lease("a3") or version_in_force("a3") >= version, "a3 holds a lease with an older document")
end
store{stale = false}
run_until(function() return ready("a3") end, 8000)
check(version_in_force("a3") >= version, "a3 serves an older document")
