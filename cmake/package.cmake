# Functions that define libraries and test programs.

# nutmegloom_library(NAME SOURCES FILES... LINK LIBRARIES...)
#
# Adds a static library.
function(nutmegloom_library Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(${Name} STATIC ${Arg_SOURCES})
  target_link_libraries(${Name} PUBLIC ${Arg_LINK})
endfunction()

# nutmegloom_test(NAME SOURCES FILES... LINK LIBRARIES...)
#
# Adds a CppUnit test program that ctest runs. Its main function is in
# tests/support/main.cpp.
function(nutmegloom_test Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/main.cpp)
  target_link_libraries(${Name} PRIVATE ${Arg_LINK} cppunit)
  add_test(NAME ${Name} COMMAND ${Name})
  # Fixed seed for RapidCheck properties that don't set a seed themselves.
  # Without it, RapidCheck would use a random seed.
  set_tests_properties(${Name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
