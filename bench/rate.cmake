# Benchmark of account rate limits over a simulated fleet.
add_executable(rate_bench
	${CMAKE_CURRENT_LIST_DIR}/rate_bench.c
	${CMAKE_CURRENT_LIST_DIR}/rate_bound.c
	${CMAKE_CURRENT_LIST_DIR}/rate_events.c
	${CMAKE_CURRENT_LIST_DIR}/rate_fleet.c
	${CMAKE_CURRENT_LIST_DIR}/rate_fleet_config.c
	${CMAKE_CURRENT_LIST_DIR}/rate_load.c)
target_link_libraries(rate_bench PRIVATE bh_rate m)
