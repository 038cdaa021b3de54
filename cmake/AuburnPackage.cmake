# Functions that declare the workspace's packages, tests and benches in one way.

add_library(auburn_warnings INTERFACE)
target_compile_options(auburn_warnings INTERFACE -Wall -Wextra -Wpedantic -Wno-missing-field-initializers)
target_compile_definitions(auburn_warnings INTERFACE QT_NO_KEYWORDS QT_NO_CAST_TO_ASCII)

# auburn_package(NAME SOURCES a.cpp ... DEPENDS lib ...): static library auburn_NAME with a public include folder.
function(auburn_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(auburn_${name} STATIC ${ARG_SOURCES})
    target_include_directories(auburn_${name}
        PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}/include"
        PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
    target_link_libraries(auburn_${name} PUBLIC ${ARG_DEPENDS} PRIVATE auburn_warnings)
endfunction()

# auburn_test(NAME SOURCES a.cpp ... DEPENDS lib ... [TIMEOUT seconds] [LABELS l ...]): one Boost.Test program.
function(auburn_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
    add_executable(${name} "${CMAKE_SOURCE_DIR}/tests/support/testmain.cpp" ${ARG_SOURCES})
    set_source_files_properties("${CMAKE_SOURCE_DIR}/tests/support/testmain.cpp"
        PROPERTIES COMPILE_DEFINITIONS BOOST_TEST_MODULE=auburnworks)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_include_directories(${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src" "${CMAKE_CURRENT_SOURCE_DIR}/../src")
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} auburn_warnings Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name} --log_level=test_suite)
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
endfunction()

# auburn_program(NAME SOURCES a.cpp ... DEPENDS lib ...): an executable (product, stand-in or bench).
function(auburn_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} auburn_warnings)
endfunction()
