# bh_package(NAME DEPENDS target...): defines the static library bh_NAME from
# all .c files in the current directory except main.c, and adds the directory to
# the include path so that users can include the public header "NAME.h".
function(bh_package name)
	cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
	file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.c)
	list(FILTER sources EXCLUDE REGEX "main\\.c$")
	add_library(bh_${name} STATIC ${sources})
	target_include_directories(bh_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
	target_link_libraries(bh_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# bh_tests(NAME): defines one Criterion test program, test_NAME, from tests/*.c
# in the current directory. Does nothing when BH_TESTS is off.
function(bh_tests name)
	if(NOT BH_TESTS)
		return()
	endif()
	file(GLOB sources CONFIGURE_DEPENDS
		${CMAKE_CURRENT_SOURCE_DIR}/tests/*.c)
	add_executable(test_${name} ${sources})
	target_link_libraries(test_${name} PRIVATE bh_${name}
		PkgConfig::CRITERION)
	set_target_properties(test_${name} PROPERTIES
		RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
	add_test(NAME ${name} COMMAND test_${name})
endfunction()
