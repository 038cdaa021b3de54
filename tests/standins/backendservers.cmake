# Stand-ins for backend servers: a library for tests in one process and two programs.
add_library(auburn_backend_server_standins STATIC
    engineanswer.cpp executionrecord.cpp listenflag.cpp prefixcache.cpp standinengine.cpp
    standinhttp.cpp standinservice.cpp)
target_include_directories(auburn_backend_server_standins PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}")
target_link_libraries(auburn_backend_server_standins
    PUBLIC auburn_core Boost::headers Qt6::Core Threads::Threads PRIVATE auburn_warnings)

auburn_program(standin_engine SOURCES enginemain.cpp DEPENDS auburn_backend_server_standins)
auburn_program(standin_service SOURCES servicemain.cpp DEPENDS auburn_backend_server_standins)
