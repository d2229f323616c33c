-- Guards against answers that miss a shard although nothing fails (invariant 2
-- and the coverage target; 3,000 queries at a low load).
start_hosts()
start_traffic(20)
run_for_ms(60000)
stop_traffic()
run_for_ms(1500)
for _, kind in ipairs{"query", "lookup"} do
  local counts = requests{kind = kind}
  check(counts.whole == counts.asked, kind .. ": " .. counts.partial .. " partial, " ..
        counts.refused .. " refused of " .. counts.asked)
end
