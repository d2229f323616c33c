-- Guards against orders that are reported as lost with a host that left in a
-- planned stop, although they were sent to the process that replaced it
-- (target: no planned stop leaves the outcome of a request unknown).
start_hosts()
start_traffic(10)
run_for_ms(2000)
stop_traffic()
run_for_ms(500)
for _, name in ipairs(leaves{prefix = "hide-ledger"}) do leaf(name){service_ms = 200} end
local orders = {}
local function order_often(span_ms)
  for _ = 1, span_ms / 50 do
    orders[#orders + 1] = ask{host = "b1", kind = "order", key = "key " .. #orders, deadline_ms = 3000}
    run_for_ms(50)
  end
end
for _, host in ipairs{"a1", "c1"} do
  stop_host(host)
  while not stopped(host) do order_often(50) end
  kill_host(host)
  start_host(host)
  order_often(3000)
end
run_for_ms(3000)
local whole = 0
for _, order in ipairs(orders) do
  local answer = reply(order)
  if answer.outcome == "answer" then whole = whole + 1 end
  check(answer.ran ~= "may_have_run", "order " .. order .. ": " .. (answer.message or ""))
end
check(whole > #orders / 2, "only " .. whole .. " of " .. #orders .. " orders were answered, so that nothing is shown")
