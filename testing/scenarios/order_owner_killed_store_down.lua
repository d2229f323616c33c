-- Guards against a "not run" refusal, for an order that ran, from a new claimer
-- that has not confirmed the journal because the store went down during the
-- takeover (invariant 6).
start_hosts()
for round = 1, 4 do
  local key = "ran " .. round
  local claimer = bucket_owner(key, "a1")
  local entry = claimer == "b1" and "c1" or "b1"
  local first = ask{host = entry, kind = "order", key = key}
  run_for_ms(300)
  expect{request = first, outcome = "answer"}
  kill_host(claimer)
  run_until(function() return bucket_owner(key, entry) ~= claimer end, 4000)
  store{down = true}
  -- The takeover takes 1.7 s and does not use the store.
  run_for_ms(1500)
  local repeats = {}
  for _ = 1, 12 do
    repeats[#repeats + 1] = repeat_request{request = first, host = entry, deadline_ms = 900}
    run_for_ms(100)
  end
  run_for_ms(1500)
  for _, request in ipairs(repeats) do
    local answer = reply(request)
    check(answer.outcome == "refusal" and answer.ran == "may_have_run", key .. ": " .. (answer.message or answer.outcome))
  end
  store{down = false}
  start_host(claimer)
  run_until(function() return ready(claimer) end, 10000)
  run_for_ms(3000)
end
