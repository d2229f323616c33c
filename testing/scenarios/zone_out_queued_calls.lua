-- Guards against calls that are queued at their owner when their zone is taken
-- out of service, and are started when a slot becomes free (invariant 4).
start_hosts()
for _, name in ipairs(leaves{prefix = "buckle-screen"}) do leaf(name){service_ms = 200} end
local number = 0
local function lookups(span_ms)
  for _ = 1, span_ms / 10 do
    number = number + 1
    for _, host in ipairs{"b1", "b2", "c1", "c2"} do
      ask{host = host, kind = "lookup", key = "queued " .. number % 50, deadline_ms = 1400}
    end
    run_for_ms(10)
  end
end
lookups(3000)
submit{zone_out = "b", wait = false}
run_until(function()
  for _, host in ipairs(hosts()) do
    if version_in_force(host) < 2 then return false end
  end
  return true
end, 1000)
local since = now_ms()
lookups(2000)
local queued = runs{zone = "b", since_ms = since + 20}
check(queued == 0, "the zone got " .. queued .. " queued calls")
