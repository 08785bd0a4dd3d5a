# Compile and link flags of all targets of the project.
add_library(bluebellkeel_flags INTERFACE)
target_include_directories(bluebellkeel_flags INTERFACE
  ${PROJECT_SOURCE_DIR}/include)
target_compile_options(bluebellkeel_flags INTERFACE -Wall -Wextra -Werror)
if(CMAKE_CXX_COMPILER_ID MATCHES Clang)
  target_compile_options(bluebellkeel_flags INTERFACE -Wthread-safety)
endif()
if(BLUEBELLKEEL_SANITIZE)
  target_compile_options(bluebellkeel_flags INTERFACE
    -fsanitize=${BLUEBELLKEEL_SANITIZE} -fno-omit-frame-pointer
    # With sanitizers, g++ 12 reports initialized members of std::variant as
    # possibly uninitialized.
    -Wno-maybe-uninitialized)
  target_link_options(bluebellkeel_flags INTERFACE
    -fsanitize=${BLUEBELLKEEL_SANITIZE})
endif()
target_link_libraries(bluebellkeel_flags INTERFACE Threads::Threads)

# bluebellkeel_library(Name DEPENDS ... [PCH ...]) adds the static library
# bluebellkeelName from Name/*.cpp. PCH lists headers to precompile, unless
# ccache is used.
function(bluebellkeel_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PCH" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}/*.cpp)
  add_library(bluebellkeel${NAME} STATIC ${SOURCES})
  target_link_libraries(bluebellkeel${NAME} PUBLIC bluebellkeel_flags
    ${ARG_DEPENDS})
  target_include_directories(bluebellkeel${NAME} PRIVATE
    ${CMAKE_CURRENT_SOURCE_DIR}/${NAME})
  if(ARG_PCH AND NOT CCACHE)
    target_precompile_headers(bluebellkeel${NAME} PRIVATE ${ARG_PCH})
  endif()
endfunction()
