-- Guards against a killing order that is sent repeatedly, with different keys,
-- to hosts of three regions at the same instant (target: at most 2 leaves
-- crashed).
start_hosts()
run_for_ms(500)
for round = 1, 4 do
  for _, host in ipairs{"a1", "b1", "c1"} do
    ask{host = host, kind = "order", key = "killing " .. round .. host, payload = "kill"}
  end
  run_for_ms(1500)
  for _, name in ipairs(leaves{}) do
    if not alive(name) then leaf(name){restart = true} end
  end
  run_for_ms(1500)
end
local killed = runs{payload = "kill"}
check(killed >= 1, "no leaf ran the killing order")
check(killed <= 2, killed .. " leaves ran the killing order")
