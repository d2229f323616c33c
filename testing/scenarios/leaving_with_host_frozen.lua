-- Guards against new work for a leaving upstream while the delegate that reads
-- the host list is frozen, and from a host that wakes later (invariant 8).
start_hosts()
start_traffic(20)
run_for_ms(1000)
for _, host in ipairs{"a1", "a2", "b1", "b2", "c1", "c2"} do
  freeze_host(host)
  run_for_ms(1200)
  local since = now_ms()
  set_leaving{"order-desk-1-0", "buckle-screen-0-1"}
  run_for_ms(3500)
  wake_host(host)
  run_for_ms(2500)
  check(runs{leaf = "order-desk-1-0", since_ms = since + 2000} == 0, "new work with " .. host .. " frozen")
  set_leaving{}
  run_for_ms(3000)
end
stop_traffic()
run_for_ms(1500)
