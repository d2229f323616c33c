# Benchmark of queries while an owner is lost; not a test.
add_executable(berylreach-owner-loss-bench ${CMAKE_CURRENT_LIST_DIR}/owner_loss_benchmark.cc)
target_link_libraries(berylreach-owner-loss-bench PRIVATE berylreach_testing gflags)
