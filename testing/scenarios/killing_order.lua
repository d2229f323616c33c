-- Guards against an order that crashes its upstream and is sent again to all
-- hosts, with the same key and with new keys (target: at most 2 leaves
-- crashed).
start_hosts()
start_traffic(50)
run_for_ms(500)
local first = ask{host = "a1", kind = "order", key = "killing", payload = "kill"}
run_for_ms(1200)
for _, host in ipairs(hosts()) do
  repeat_request{request = first, host = host}
  run_for_ms(100)
end
for round = 1, 8 do
  for _, host in ipairs(hosts()) do
    ask{host = host, kind = "order", key = "killing " .. round .. host, payload = "kill"}
    run_for_ms(120)
  end
  for _, name in ipairs(leaves{}) do
    if not alive(name) then leaf(name){restart = true} end
  end
  run_for_ms(500)
end
run_for_ms(2000)
local killed = runs{payload = "kill"}
check(killed <= 2, killed .. " leaves ran the killing order")
check(runs{kind = "order", key = "killing"} <= 1, "the killing order ran again")
stop_traffic()
run_for_ms(1500)
