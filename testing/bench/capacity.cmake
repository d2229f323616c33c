# Measures the control cost of hosts and the sizes of records; not a test.
file(GLOB CAPACITY_SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_LIST_DIR}/../capacity/*.cc)
add_executable(berylreach-capacity ${CAPACITY_SOURCES})
# The message codec is a private header of the transport package.
target_include_directories(berylreach-capacity PRIVATE
  ${CMAKE_SOURCE_DIR}/transport/lib ${CMAKE_CURRENT_LIST_DIR}/../capacity)
target_link_libraries(berylreach-capacity PRIVATE
  berylreach_testing berylreach_transport gflags)
