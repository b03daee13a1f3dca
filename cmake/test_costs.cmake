# Read by ctest after the tests' names: begins the longest tests first, so that none is left over alone.
# The figures only order them: seconds under the sanitizers, more or less.
set_tests_properties(fleet.quota_fleet_faults.theBoundHolds PROPERTIES COST 120)
