# Benchmark of the RPC node; included by the benchmark build, not run by ctest.
add_executable(berylreach-rpc-benchmark ${CMAKE_CURRENT_LIST_DIR}/rpc_benchmark.cc)
target_link_libraries(berylreach-rpc-benchmark PRIVATE berylreach_transport gflags)
