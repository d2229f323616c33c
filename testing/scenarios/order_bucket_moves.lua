-- Guards against a "not run" refusal from the new claimer of an order that
-- still waits for the store at the former claimer and runs there later
-- (invariant 6).
start_hosts()
for round = 1, 3 do
  local key = "moved " .. round
  local new = bucket_owner(key, "a1")
  local entry = new == "b1" and "c1" or "b1"
  stop_host(new)
  run_until(function() return stopped(new) end, 10000)
  kill_host(new)
  run_for_ms(3000)
  local former = bucket_owner(key, entry)
  cut_store(former)
  local first = ask{host = entry, kind = "order", key = key, deadline_ms = 1900}
  run_for_ms(30)
  start_host(new)
  run_until(function() return bucket_owner(key, entry) == new end, 300)
  run_for_ms(300)
  store{down = true}
  local again = repeat_request{request = first, host = entry, deadline_ms = 250}
  run_for_ms(400)
  store{down = false}
  cut_store(former, false)
  run_for_ms(2000)
  expect{request = first, outcome = "answer"}
  check(reply(again).ran ~= "not_run", key .. " was told not_run: " .. (reply(again).message or ""))
  run_until(function() return ready(new) end, 10000)
  run_for_ms(2000)
end
