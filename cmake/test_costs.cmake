# Read by ctest after the names of the unit tests: begins the longest ones first, so that none is left over
# alone. The figures only order them: seconds under the sanitizers, more or less.
foreach(test IN LISTS fleet_tests_TESTS)
    if(test MATCHES "quota_fleet_faults.theBoundHolds$")
        set_tests_properties("${test}" PROPERTIES COST 120)
    elseif(test MATCHES "/330vms")
        set_tests_properties("${test}" PROPERTIES COST 60)
    endif()
endforeach()
