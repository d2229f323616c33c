-- Guards against a "not run" refusal from an entry host that was frozen when
-- the refusal arrived, while the caller's retry at another host ran
-- (invariant 6).
start_hosts()
for round = 1, 3 do
  local key = "overtaken " .. round
  local claimer = bucket_owner(key, "a1")
  -- The entry host is in another region than the claimer.
  local entry = claimer:sub(1, 1) == "b" and "c1" or "b1"
  local other = claimer == "a2" and "a1" or "a2"
  store{down = true}
  local first = ask{host = entry, kind = "order", key = key, deadline_ms = 500}
  -- The refusal is sent at the deadline and takes 20 ms to arrive.
  run_for_ms(510)
  freeze_host(entry)
  run_for_ms(100)
  store{down = false}
  run_for_ms(600)
  local again = repeat_request{request = first, host = other, deadline_ms = 900}
  run_for_ms(300)
  expect{request = again, outcome = "answer"}
  wake_host(entry)
  run_for_ms(200)
  expect{request = first, outcome = "refusal", ran = "may_have_run"}
  run_for_ms(6000)
end
