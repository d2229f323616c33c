-- Guards against results of another version than the one requested, from leaves
-- that ignore it, in an answer (invariant 1).
start_hosts()
publish_version{version = 2, shards = 4, keep = true}
run_for_ms(2500)
leaf("order-desk-0-0"){ignores_version = true}
leaf("order-desk-2-1"){ignores_version = true}
for step = 1, 40 do
  ask{host = step % 2 == 0 and "a1" or "c2", kind = "query", payload = "ignored " .. step % 4}
  run_for_ms(100)
end
run_for_ms(1500)
local counts = requests{kind = "query"}
check(counts.whole > 5, "only " .. counts.whole .. " answers were whole, so that nothing is shown")
check(events{type = "mismatched_reply"} > 0, "no answer of another version came")
