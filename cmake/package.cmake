# One package: public headers in include/, sources in lib/, tests in unittests/ (one binary a package).

set(FUCHSIALOOM_WARNINGS -Wall -Wextra -Wpedantic)
# The checks that a sanitizer adds make the compiler's flow warnings guess, so they stop no such build.
if(NOT FUCHSIALOOM_SANITIZE)
    list(APPEND FUCHSIALOOM_WARNINGS -Werror)
endif()
# Seconds after which a unit test counts as hanging. Sanitizers slow the longest ones down about ten times.
if(FUCHSIALOOM_SANITIZE)
    set(FUCHSIALOOM_UNIT_TEST_LIMIT 900)
else()
    set(FUCHSIALOOM_UNIT_TEST_LIMIT 300)
endif()
# A fixed seed keeps every property test deterministic.
set(FUCHSIALOOM_RC_PARAMS "seed=20261202")

function(fuchsialoom_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS lib/*.cpp)
    add_library(fuchsialoom_${name} STATIC ${sources})
    add_library(fuchsialoom::${name} ALIAS fuchsialoom_${name})
    target_include_directories(fuchsialoom_${name} PUBLIC include)
    target_compile_options(fuchsialoom_${name} PRIVATE ${FUCHSIALOOM_WARNINGS})
    target_link_libraries(fuchsialoom_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)

    file(GLOB tests CONFIGURE_DEPENDS unittests/*.cpp)
    if(tests AND NOT FUCHSIALOOM_DAEMON_ONLY)
        add_executable(${name}_tests ${tests})
        target_compile_options(${name}_tests PRIVATE ${FUCHSIALOOM_WARNINGS})
        target_link_libraries(${name}_tests PRIVATE fuchsialoom::${name} rapidcheck rapidcheck_gtest GTest::gtest GTest::gtest_main)
        gtest_discover_tests(${name}_tests
            TEST_PREFIX "${name}."
            DISCOVERY_MODE PRE_TEST
            PROPERTIES TIMEOUT ${FUCHSIALOOM_UNIT_TEST_LIMIT} LABELS unit ENVIRONMENT "RC_PARAMS=${FUCHSIALOOM_RC_PARAMS}")
        set_property(DIRECTORY APPEND PROPERTY TEST_INCLUDE_FILES ${CMAKE_SOURCE_DIR}/cmake/test_costs.cmake)
    endif()
endfunction()
