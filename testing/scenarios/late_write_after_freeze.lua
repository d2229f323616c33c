-- Guards against a call that an owner hands to its I/O thread before it is
-- frozen and writes after it wakes. The clock of the leaf is behind, so that
-- the leaf does not refuse the late call itself (invariants 3, 4, 7 and 8).
start_hosts()
-- Each of these leaves is the only one of the service in its zone, so that
-- lookups that its owner receives are sent to it.
for _, name in ipairs{"buckle-screen-0-1", "buckle-screen-0-2"} do
  local owner = owner_of(name, "a1")
  leaf(name){ignores_deadline = true}
  for index = 1, 4 do ask{host = owner, kind = "lookup", key = "half sent " .. name} end
  freeze_host(owner)
  run_for_ms(4000)
  check(runs{key = "half sent " .. name} == 0, "a call was written before the host stood still")
  wake_host(owner)
  run_for_ms(5000)
  local late = runs{key = "half sent " .. name}
  check(late == 0, name .. " got " .. late .. " calls past their deadline")
end
