-- Guards against an order that its claimer, frozen until after the deadline of
-- the forward, runs when it wakes, although the entry host has already replied
-- to the caller (invariants 6 and 7).
start_hosts()
for round = 1, 4 do
  local key = "late " .. round
  local claimer = bucket_owner(key, "a1")
  local entry = claimer == "b1" and "c1" or "b1"
  freeze_host(claimer)
  local first = ask{host = entry, kind = "order", key = key, deadline_ms = 400}
  run_for_ms(800)
  expect{request = first, outcome = "refusal"}
  wake_host(claimer)
  run_for_ms(3000)
  check(runs{kind = "order", key = key} == 0, key .. " ran after its deadline")
end
