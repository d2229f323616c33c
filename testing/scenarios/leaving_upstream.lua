-- Guards against new work for an upstream later than 2 s after the host list
-- shows it as leaving, and against partial answers caused by its removal
-- (invariant 8).
start_hosts()
start_traffic(10)
run_for_ms(1500)
local since = now_ms()
local leaving = {"order-desk-1-0", "buckle-screen-0-1", "hide-ledger-0-0"}
set_leaving(leaving)
run_for_ms(5000)
for _, name in ipairs(leaving) do
  check(runs{leaf = name, since_ms = since + 2000} == 0, name .. " gets new work")
end
local counts = requests{kind = "query", since_ms = since}
check(counts.partial == 0, counts.partial .. " answers are partial")
set_leaving{}
local returned = now_ms()
run_for_ms(4000)
check(runs{leaf = "order-desk-1-0", since_ms = returned} > 0, "the leaf gets work again")
stop_traffic()
run_for_ms(1500)
