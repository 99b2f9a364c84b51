# Finds the headers of prometheus-cpp: installed, unpacked by scripts/install-packages.sh, or
# unpacked here. Only the headers are unpacked, because the development package conflicts with the
# one of ulfius.
find_path(PROMETHEUS_INCLUDE_DIR prometheus/counter.h
  HINTS "${PROJECT_SOURCE_DIR}/deps/usr/include" "${PROJECT_BINARY_DIR}/deps/usr/include")
if(NOT PROMETHEUS_INCLUDE_DIR)
  execute_process(
    COMMAND sh -c "mkdir -p deps/download && cd deps/download && \
apt-get download -q prometheus-cpp-dev && dpkg-deb -x prometheus-cpp-dev_*.deb .."
    WORKING_DIRECTORY "${PROJECT_BINARY_DIR}" RESULT_VARIABLE prometheus_unpacked)
  set(PROMETHEUS_INCLUDE_DIR "${PROJECT_BINARY_DIR}/deps/usr/include" CACHE PATH "" FORCE)
  if(NOT prometheus_unpacked EQUAL 0)
    message(FATAL_ERROR "the headers of prometheus-cpp are missing; install prometheus-cpp-dev")
  endif()
endif()
