# Stand-ins for runners: a library for tests in one process and two programs.
add_library(auburn_runner_standins STATIC
    engineanswer.cpp executionrecord.cpp listenflag.cpp prefixcache.cpp standinengine.cpp
    standinhttp.cpp standinservice.cpp)
target_include_directories(auburn_runner_standins PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}")
target_link_libraries(auburn_runner_standins
    PUBLIC auburn_core Boost::headers Qt6::Core Threads::Threads PRIVATE auburn_warnings)

auburn_program(standin_engine SOURCES enginemain.cpp DEPENDS auburn_runner_standins)
auburn_program(standin_service SOURCES servicemain.cpp DEPENDS auburn_runner_standins)
