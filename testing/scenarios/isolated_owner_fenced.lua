-- Guards against a new owner that calls a leaf while the former one, isolated
-- and removed from the members, still calls it under its unexpired lease
-- (invariant 3).
start_hosts()
local function lookups(span_ms)
  for step = 1, span_ms / 10 do
    for _, host in ipairs{"b1", "b2", "c1", "c2"} do
      ask{host = host, kind = "lookup", key = "fenced " .. step % 50, deadline_ms = 1300}
    end
    run_for_ms(10)
  end
end
for _, name in ipairs{"buckle-screen-0-1", "buckle-screen-0-2"} do
  leaf(name){service_ms = 50}
  lookups(3000)
  local old = owner_of(name, "a1")
  isolate_host(old)
  cut_store(old)
  lookups(700)
  -- Calls that start from now on last until the lease of the former owner ends.
  leaf(name){service_ms = 2000}
  lookups(2500)
  check(owner_of(name, "a1") ~= old, name .. " was not taken over")
  check(most_running(name) == 4, name .. " ran " .. most_running(name) .. " calls at once")
  isolate_host(old, false)
  cut_store(old, false)
  leaf(name){service_ms = 50}
  lookups(4000)
end
