-- Guards against a request that crashes each leaf that runs it and is sent
-- repeatedly to all hosts (target: at most 2 leaves crashed).
start_hosts()
start_traffic(50)
run_for_ms(500)
for round = 1, 20 do
  for _, host in ipairs(hosts()) do
    ask{host = host, kind = "query", payload = "kill", deadline_ms = 400}
    run_for_ms(15)
  end
  run_for_ms(150)
  for _, name in ipairs(leaves{}) do
    if not alive(name) then leaf(name){restart = true} end
  end
end
run_for_ms(2000)
local killed = runs{payload = "kill"}
check(killed <= 2, killed .. " leaves ran the killing request")
local last = ask{host = "c1", kind = "query", payload = "kill"}
run_for_ms(1000)
expect{request = last, outcome = "refusal", error = "request_blocked"}
stop_traffic()
run_for_ms(1500)
