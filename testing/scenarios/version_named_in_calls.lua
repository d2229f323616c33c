-- Guards against calls that name no version, or another one than the answer
-- states: leaves that hold two versions would then answer from the old one
-- (invariant 1).
start_hosts()
publish_version{version = 2, shards = 4, keep = true}
run_for_ms(2500)
for step = 1, 20 do
  local host = step % 2 == 0 and "a1" or "c2"
  local query = ask{host = host, kind = "query", payload = "held twice " .. step % 4}
  run_for_ms(100)
  expect{request = query, outcome = "answer", whole = true, version = 2}
end
