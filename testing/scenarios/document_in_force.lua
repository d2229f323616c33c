-- Guards against a document that is not in force on all hosts within 1 s of
-- being written (invariant 10; target: 1 s with 6 hosts).
start_hosts()
start_traffic(20)
local most = 0
for round = 1, 10 do
  local version = submit{region = "region-" .. round}
  local written = now_ms()
  local took = run_until(function()
    for _, host in ipairs(hosts()) do
      if version_in_force(host) < version then return false end
    end
    return true
  end, 3000)
  most = math.max(most, took)
  run_for_ms(700)
end
check(most <= 1000, "a document took " .. most .. " ms")
stop_traffic()
run_for_ms(1500)
