# TCP proxy that injects faults; the library part is linked by its tests.
add_library(standin_faultproxy STATIC
    faultproxy/connection.cpp faultproxy/controlserver.cpp faultproxy/faultproxy.cpp faultproxy/route.cpp)
target_include_directories(standin_faultproxy PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}/faultproxy")
target_link_libraries(standin_faultproxy PUBLIC auburn_core Boost::headers Qt6::Core PRIVATE auburn_warnings)

auburn_program(standin_proxy SOURCES faultproxy/main.cpp DEPENDS standin_faultproxy)

auburn_test(standin_proxy_test SOURCES faultproxy/faultproxy_test.cpp DEPENDS standin_faultproxy)
