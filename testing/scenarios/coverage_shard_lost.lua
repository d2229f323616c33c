-- Guards against answers that count shards that did not answer, or omit shards
-- that did, when all replicas of a shard are down (invariant 2).
start_hosts()
run_for_ms(500)
leaf("order-desk-2-0"){kill = true}
leaf("order-desk-2-1"){kill = true}
local partial = {}
for _, host in ipairs(hosts()) do
  partial[#partial + 1] = ask{host = host, kind = "query", payload = "lost " .. host}
  run_for_ms(200)
end
local refused = ask{host = "b2", kind = "query", payload = "lost", least_coverage = 1}
run_for_ms(1300)
local partly = 0
for _, number in ipairs(partial) do
  local got = reply(number)
  if got.outcome == "answer" then
    partly = partly + 1
    expect{request = number, shards_total = 4, shards_answered = 3}
  else
    -- Without a usable replica a host may know of no complete snapshot either,
    -- and then refuses the query.
    expect{request = number, outcome = "refusal"}
  end
end
check(partly > 0, "at least one answer states the lost shard")
expect{request = refused, outcome = "refusal", ran = "not_run"}

leaf("order-desk-2-0"){restart = true}
leaf("order-desk-2-1"){restart = true}
run_for_ms(3000)
local whole = ask{host = "a1", kind = "query", least_coverage = 1}
run_for_ms(1000)
expect{request = whole, outcome = "answer", whole = true}
