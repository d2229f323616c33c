-- Guards against a host that joins on the basis of a stale read and serves a
-- document older than the accepted one (invariant 10).
start_hosts()
submit{region = "region-1"}
run_for_ms(1500)
local version = submit{region = "region-2"}
run_until(function() return accepted_at_ms(version) end, 1000)
-- Stale and fresh periods alternate, so that hosts read the head as it was
-- before its last change and try to join by a write based on it.
local reads = 0
local function toggle()
  reads = reads + 1
  store{stale = reads % 4 < 2}
end
for _, host in ipairs{"a3", "b3", "c3"} do
  start_host(host)
  run_until(function()
    toggle()
    check(not holds_lease(host) or version_in_force(host) >= version or version_in_force(host) == 0,
          host .. " holds a lease with document " .. version_in_force(host))
    return ready(host)
  end, 15000)
  check(version_in_force(host) >= version, host .. " serves an older document")
end
kill_host("a1")
start_host("a1")
run_until(function() toggle() return ready("a1") end, 15000)
check(version_in_force("a1") >= version, "the restarted host serves an older document")
store{stale = false}
run_for_ms(2000)
