-- Guards against a killing order that is sent with different keys to all hosts
-- at the same instant (target: at most 2 leaves crashed).
start_hosts()
run_for_ms(500)
for _, host in ipairs(hosts()) do
  ask{host = host, kind = "order", key = "killing at " .. host, payload = "kill"}
end
run_for_ms(3000)
local killed = runs{payload = "kill"}
check(killed <= 2, killed .. " leaves ran the killing order")
