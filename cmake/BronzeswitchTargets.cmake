# Helpers that give every library and program of the project the same layout and warnings.

set(BRONZESWITCH_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Werror
    # g++ 12 reports false overlaps for std::string concatenation.
    -Wno-restrict)

# bronzeswitch_library(NAME DEPENDS target...)
# Builds libs/NAME from src/*.cpp with its public headers in include/NAME, and its tests from tests/*.cpp.
function(bronzeswitch_library NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS src/*.cpp)
    add_library(bronzeswitch_${NAME} STATIC ${SOURCES})
    target_include_directories(bronzeswitch_${NAME} PUBLIC include PRIVATE src)
    target_link_libraries(bronzeswitch_${NAME} PUBLIC Threads::Threads tl::expected nlohmann_json::nlohmann_json ${ARG_DEPENDS})
    target_compile_options(bronzeswitch_${NAME} PRIVATE ${BRONZESWITCH_WARNINGS})
    file(GLOB TEST_SOURCES CONFIGURE_DEPENDS tests/*.cpp)
    if(BRONZESWITCH_TESTS AND TEST_SOURCES)
        add_executable(${NAME}_tests ${TEST_SOURCES})
        target_link_libraries(${NAME}_tests PRIVATE bronzeswitch_${NAME} bronzeswitch_catch_main ${ARG_TEST_DEPENDS})
        target_compile_options(${NAME}_tests PRIVATE ${BRONZESWITCH_WARNINGS})
        target_compile_definitions(${NAME}_tests PRIVATE BRONZESWITCH_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
        add_test(NAME ${NAME} COMMAND ${NAME}_tests)
        set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
    endif()
endfunction()

# bronzeswitch_program(NAME SOURCES file... DEPENDS target...)
function(bronzeswitch_program NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS})
    target_compile_options(${NAME} PRIVATE ${BRONZESWITCH_WARNINGS})
endfunction()
