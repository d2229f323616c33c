# Load program of the process tests; runs against hosts that are given by address.
add_executable(berylreach-load ${CMAKE_CURRENT_LIST_DIR}/load.cc)
target_link_libraries(berylreach-load PRIVATE berylreach_transport Boost::json gflags)
