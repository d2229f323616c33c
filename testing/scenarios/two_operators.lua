-- Guards against a document that is lost or reverted when two operators write
-- at the same time, also when responses of the store are lost (invariant 10).
start_hosts()
for round = 1, 5 do
  if round == 3 then store{lose = 0.3} end
  submit{region = "first-" .. round, wait = false}
  submit{region = "second-" .. round, racing = true, wait = false}
  run_for_ms(4000)
end
store{lose = 0}
run_for_ms(4000)
local version = submit{region = "last"}
run_until(function() return accepted_at_ms(version) end, 2000)
for _, host in ipairs(hosts()) do
  check(version_in_force(host) == version, host .. " has document " .. version_in_force(host))
end
check(version >= 8, "documents of both operators were written: " .. version)
