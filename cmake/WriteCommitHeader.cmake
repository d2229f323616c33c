# Writes the header OUTPUT, which names the commit of the source tree SOURCE_DIR and whether the tree
# has been changed since. The commit is "unknown" if the tree is not a repository of its own, as in a
# source archive. A header that is up to date is left as it is.
set(COMMIT "unknown")
set(CHANGED "false")

# Sets VARIABLE to what git prints; empty if it fails.
function(read_git VARIABLE)
  execute_process(
    COMMAND ${GIT_EXECUTABLE} -c safe.directory=${SOURCE_DIR} -C ${SOURCE_DIR} ${ARGN}
    OUTPUT_VARIABLE OUTPUT RESULT_VARIABLE STATUS ERROR_QUIET OUTPUT_STRIP_TRAILING_WHITESPACE)
  if(NOT STATUS EQUAL 0)
    set(OUTPUT "")
  endif()
  set(${VARIABLE} "${OUTPUT}" PARENT_SCOPE)
endfunction()

find_program(GIT_EXECUTABLE git)
if(GIT_EXECUTABLE AND EXISTS ${SOURCE_DIR}/.git)
  read_git(HEAD rev-parse --short=12 HEAD)
  if(HEAD)
    set(COMMIT ${HEAD})
    # Only the files that are compiled; a run may add others to the tree.
    read_git(CHANGES status --porcelain -- *.cc *.h *.c++ *.cmake *CMakeLists.txt)
    if(CHANGES)
      set(CHANGED "true")
    endif()
  endif()
endif()

file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT [[
#pragma once

namespace berylreach::build_info {

inline constexpr char kCommit[] = "@COMMIT@";
inline constexpr bool kChanged = @CHANGED@;

}  // namespace berylreach::build_info
]])
