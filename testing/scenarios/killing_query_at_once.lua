-- Guards against a killing request that arrives at all hosts at the same
-- instant, before any host can know of the first crash (target: at most 2
-- leaves crashed).
start_hosts()
run_for_ms(500)
for round = 1, 5 do
  for _, host in ipairs(hosts()) do
    ask{host = host, kind = "query", payload = "kill", deadline_ms = 800}
  end
  run_for_ms(1000)
  for _, name in ipairs(leaves{}) do
    if not alive(name) then leaf(name){restart = true} end
  end
  run_for_ms(1500)
end
local killed = runs{payload = "kill"}
check(killed <= 2, killed .. " leaves ran the killing request")
