-- Guards against several concurrent calls on a leaf that restarted while no
-- host called it and then receives several calls at the same instant
-- (invariant 3; target: 1 call until the first completion).
start_hosts()
local name = "buckle-screen-0-1"
local owner = owner_of(name, "a1")
for step = 1, 60 do
  ask{host = owner, kind = "lookup", key = "warm " .. step % 9}
  ask{host = owner, kind = "lookup", key = "warm " .. step % 7}
  run_for_ms(20)
end
run_for_ms(500)
leaf(name){kill = true, restart = true}
local since = now_ms()
for _ = 1, 60 do
  for index = 1, 4 do ask{host = owner, kind = "lookup", key = "warm " .. index} end
  run_for_ms(50)
end
run_for_ms(1000)
check(runs{leaf = name, since_ms = since} > 0, "the leaf got no call, so that nothing is shown")
check(most_running_cold(name) <= 1, "the cold leaf ran " .. most_running_cold(name) .. " calls at once")
