-- Guards against a request that has no usable leaf left but is held until close
-- to its deadline, and against refusals that do not state a retry delay
-- (section 1.2).
start_hosts()
for _, name in ipairs(leaves{prefix = "buckle-screen"}) do leaf(name){shedding = true} end
run_for_ms(500)
local shed = ask{host = "a1", kind = "lookup", key = "shed", deadline_ms = 5000}
run_for_ms(5200)
expect{request = shed, outcome = "refusal", within_ms = 1000}
check(reply(shed).retry_after_ms > 0, "the refusal states when to come back")
for _, name in ipairs(leaves{prefix = "buckle-screen"}) do leaf(name){shedding = false, kill = true} end
run_for_ms(1500)
local dead = ask{host = "b1", kind = "lookup", key = "dead", deadline_ms = 5000}
run_for_ms(5200)
expect{request = dead, outcome = "refusal", within_ms = 1000}
check(reply(dead).retry_after_ms > 0, "the refusal states when to come back")
