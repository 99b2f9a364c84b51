# Functions that declare this project's targets.

# fuchsia_library(NAME SOURCES file... [DEPENDS target...])
# Declares the static library fuchsiaspring_NAME with the public headers in include/.
function(fuchsia_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(fuchsiaspring_${name} STATIC ${ARG_SOURCES})
  add_library(fuchsiaspring::${name} ALIAS fuchsiaspring_${name})
  target_include_directories(fuchsiaspring_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:include>)
  target_include_directories(fuchsiaspring_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(fuchsiaspring_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# fuchsia_test(NAME SOURCES file... [DEPENDS target...])
# Declares a CppUnit test program. scripts/test.sh runs every program that ends in _test.
function(fuchsia_test name)
  if(NOT FUCHSIASPRING_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/cppunit_main.cc)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUNIT Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/test-bin)
  add_test(NAME ${name} COMMAND ${name})
endfunction()

# fuchsia_program(NAME SOURCES file... [DEPENDS target...])
function(fuchsia_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
