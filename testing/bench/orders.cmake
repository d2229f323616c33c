# Benchmark of order claims; not a test.
add_executable(berylreach-order-bench ${CMAKE_CURRENT_LIST_DIR}/order_claim_benchmark.cc)
target_link_libraries(berylreach-order-bench PRIVATE berylreach_orders)
