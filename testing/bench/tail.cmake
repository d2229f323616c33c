# Benchmark of the order desk's tail latency in virtual time; not a test.
add_executable(berylreach-tail-bench
  ${CMAKE_CURRENT_LIST_DIR}/bench_host.cc ${CMAKE_CURRENT_LIST_DIR}/leaf_model.cc
  ${CMAKE_CURRENT_LIST_DIR}/simulation.cc ${CMAKE_CURRENT_LIST_DIR}/tail_benchmark.cc)
target_link_libraries(berylreach-tail-bench PRIVATE berylreach_query gflags Threads::Threads)
