# Installs the built package into a folder of its own and builds and runs the consumer against it.
set(prefix ${BUILD_DIR}/installed)
set(consumer ${BUILD_DIR}/consumer)
file(REMOVE_RECURSE ${prefix} ${consumer})
foreach(command
    "${CMAKE_COMMAND};--install;${BUILD_DIR};--prefix;${prefix}"
    "${CMAKE_COMMAND};-S;${SOURCE_DIR};-B;${consumer};-DCMAKE_PREFIX_PATH=${prefix};-DCMAKE_CXX_FLAGS=${CXX_FLAGS}"
    "${CMAKE_COMMAND};--build;${consumer}"
    "${consumer}/consumer")
  execute_process(COMMAND ${command} RESULT_VARIABLE result)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "failed: ${command}")
  endif()
endforeach()
