-- Guards against a host that serves an old document because it was isolated
-- from its peers, with or without access to the store, while a new one was
-- written (invariant 10).
start_hosts()
start_traffic(25)
for _, cut in ipairs{false, true} do
  for _, host in ipairs{"a1", "b2", "c1"} do
    isolate_host(host)
    cut_store(host, cut)
    run_for_ms(200)
    local version = submit{region = "isolated-" .. host .. tostring(cut)}
    run_until(function() return accepted_at_ms(version) end, 4000)
    run_for_ms(2000)
    check(not holds_lease(host) or version_in_force(host) >= version, host .. " serves an old document")
    isolate_host(host, false)
    cut_store(host, false)
    run_until(function() return ready(host) and version_in_force(host) >= version end, 8000)
    run_for_ms(2000)
  end
end
stop_traffic()
run_for_ms(1500)
