# Stand-ins of the platform's log and membership list, and the HTTP server that they share.
add_library(standin_http STATIC httpserver.cpp httpsession.cpp faults.cpp)
target_include_directories(standin_http PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}")
target_link_libraries(standin_http PUBLIC Boost::headers Threads::Threads Qt6::Core PRIVATE auburn_warnings)

add_library(standin_streamtable STATIC streamtable.cpp)
target_link_libraries(standin_streamtable PUBLIC standin_http PRIVATE auburn_warnings)

auburn_program(standin_log SOURCES standin_log.cpp DEPENDS standin_streamtable)
auburn_program(standin_list SOURCES standin_list.cpp DEPENDS standin_http)

auburn_test(standin_log_test SOURCES streamtable_test.cpp DEPENDS standin_streamtable)
