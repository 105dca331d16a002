# Helpers for the packages of the workspace.

# nutmegloom_library(NAME SOURCES... LINK LIBRARIES...)
function(nutmegloom_library Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;LINK" ${ARGN})
  add_library(${Name} STATIC ${Arg_SOURCES})
  target_link_libraries(${Name} PUBLIC ${Arg_LINK})
endfunction()

# nutmegloom_test(NAME SOURCES... LINK LIBRARIES...)
#
# A CppUnit test program that is run by ctest. tests/support/main.cpp holds
# its main function.
function(nutmegloom_test Name)
  cmake_parse_arguments(Arg "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${Name} ${Arg_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/main.cpp)
  target_link_libraries(${Name} PRIVATE ${Arg_LINK} cppunit)
  add_test(NAME ${Name} COMMAND ${Name})
  # Tests set their own seeds; this one keeps RapidCheck from drawing another
  # for anything that does not.
  set_tests_properties(${Name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
