-- Guards against a new owner that calls a leaf while calls of the former owner,
-- which left in a planned stop, still run there (invariant 3).
start_hosts()
for _, name in ipairs(leaves{prefix = "buckle-screen"}) do leaf(name){service_ms = 500} end
local number = 0
local function lookups(span_ms)
  for _ = 1, span_ms / 10 do
    number = number + 1
    local host = ({"a1", "a2", "b1", "b2", "c1", "c2"})[number % 6 + 1]
    if ready(host) then
      ask{host = host, kind = "lookup", key = "long " .. number % 50, deadline_ms = 1300}
    end
    run_for_ms(10)
  end
end
lookups(6000)
for index = 0, 3 do
  local name = "buckle-screen-0-" .. index
  local old = owner_of(name, "c1")
  stop_host(old)
  while not stopped(old) do lookups(50) end
  kill_host(old)
  lookups(2000)
  start_host(old)
  lookups(6000)
  check(most_running(name) == 4, name .. " ran " .. most_running(name) .. " calls at once")
end
