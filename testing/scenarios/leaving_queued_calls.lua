-- Guards against calls that are queued at the owner of a leaf when the leaf is
-- shown as leaving, and are started when a slot becomes free (invariant 8).
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
set_leaving{"buckle-screen-0-1", "buckle-screen-0-2"}
-- The first delegate polls the host list every 750 ms.
lookups(850)
local since = now_ms()
lookups(2000)
for index = 1, 2 do
  local queued = runs{leaf = "buckle-screen-0-" .. index, since_ms = since}
  check(queued == 0, "leaf " .. index .. " got " .. queued .. " queued calls")
end
