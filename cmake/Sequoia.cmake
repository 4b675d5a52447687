# Warning and sanitizer flags of all code of the project, generated code excepted.
add_library(sequoia_options INTERFACE)
target_compile_options(sequoia_options INTERFACE -Wall -Wextra -Werror)
if(SEQUOIA_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
endif()

# sequoia_library(NAME DEPS ...): libs/NAME with include/NAME, src/*.cpp and, where there is a folder
# tests, one doctest program NAME_tests.
function(sequoia_library name)
    cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    if(sources)
        add_library(${name} STATIC ${sources})
        target_include_directories(${name} PUBLIC include PRIVATE src)
        target_link_libraries(${name} PUBLIC ${ARG_DEPS} PRIVATE sequoia_options)
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE include)
        target_link_libraries(${name} INTERFACE ${ARG_DEPS})
    endif()
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(tests AND NOT SEQUOIA_NODE_ONLY)
        add_executable(${name}_tests ${tests})
        target_include_directories(${name}_tests PRIVATE src tests)
        target_link_libraries(${name}_tests PRIVATE ${name} ${ARG_TEST_DEPS} rapidcheck sequoia_options)
        add_test(NAME ${name}_tests COMMAND ${name}_tests)
        # A fixed seed makes every run of the property tests the same.
        # The time limit only ends a test that hangs.
        set_tests_properties(${name}_tests PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
    endif()
endfunction()

# sequoia_program(NAME DEPS ...): a binary of programs/FOLDER from all its *.cpp files.
function(sequoia_program name)
    cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE src)
    target_link_libraries(${name} PRIVATE ${ARG_DEPS} sequoia_options)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
