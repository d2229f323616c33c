-- Guards against answers that mix index versions when the version, and with it
-- the number of shards, changes while queries run (invariant 1).
start_hosts()
local since = now_ms()
for step = 0, 30 do
  ask{host = "a1", kind = "query", payload = "change " .. step % 4}
  ask{host = "c2", kind = "query", payload = "change " .. step % 4}
  if step == 8 then publish_version{version = 2, shards = 4, keep = true} end
  if step == 12 then publish_version{version = 2, shards = 4} end
  if step == 18 then publish_version{version = 3, shards = 2, keep = true} end
  if step == 24 then publish_version{version = 3, shards = 2} end
  run_for_ms(7)
end
run_for_ms(2500)
local counts = requests{kind = "query", since_ms = since}
check(counts.unanswered == 0, "each query gets a reply")
check(counts.whole + counts.partial > 0, "queries are answered in the change")

local last = ask{host = "b1", kind = "query"}
run_for_ms(1000)
expect{request = last, outcome = "answer", whole = true, version = 3, shards_total = 2}
