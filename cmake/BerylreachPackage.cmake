# Defines the library of one package, and its unit tests as one ctest entry.
#
# berylreach_package(NAME DEPENDS packages... LIBRARIES targets... TEST_LIBRARIES targets...)
# builds lib/*.cc into berylreach_NAME and unittests/*_test.cc into NAME_tests.
function(berylreach_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;TEST_LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS lib/*.cc lib/generated/*.c++)
  list(TRANSFORM ARG_DEPENDS PREPEND berylreach_)
  if(SOURCES)
    add_library(berylreach_${NAME} STATIC ${SOURCES})
    set(SCOPE PUBLIC)
  else()
    add_library(berylreach_${NAME} INTERFACE)
    set(SCOPE INTERFACE)
  endif()
  target_include_directories(berylreach_${NAME} ${SCOPE} include)
  target_link_libraries(berylreach_${NAME} ${SCOPE} ${ARG_DEPENDS} ${ARG_LIBRARIES})

  file(GLOB TESTS CONFIGURE_DEPENDS unittests/*_test.cc)
  if(TESTS)
    add_executable(${NAME}_tests ${TESTS})
    target_link_libraries(${NAME}_tests PRIVATE berylreach_${NAME} ${ARG_TEST_LIBRARIES}
                          GTest::gmock GTest::gtest_main Threads::Threads)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 120)
  endif()
endfunction()
