# Install rules: the libraries that other programs embed as the CMake package `fuchsiaspring`, the
# programs and their systemd units.
#
#   cmake --install build --prefix /usr
#   cmake --install build --prefix /opt/fuchsiaspring --component development   # libraries only
#
# Each library has its own export set, so that a program that uses only `base` or `admission` needs
# no protobuf.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

# Each component comes after those that it depends on; the package configuration relies on this
# order.
set(FUCHSIASPRING_COMPONENTS
  base schema admission estimator retry routing limits membership distribution idempotency)
set(fuchsiaspring_package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/fuchsiaspring)

target_include_directories(fuchsiaspring_schema SYSTEM INTERFACE
  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/fuchsiaspring/schema>)

foreach(component IN LISTS FUCHSIASPRING_COMPONENTS)
  set_target_properties(fuchsiaspring_${component} PROPERTIES EXPORT_NAME ${component})
  target_compile_features(fuchsiaspring_${component} INTERFACE cxx_std_20)
  install(TARGETS fuchsiaspring_${component} EXPORT fuchsiaspring-${component}
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT development)
  install(EXPORT fuchsiaspring-${component} NAMESPACE fuchsiaspring::
    FILE fuchsiaspring-${component}-targets.cmake
    DESTINATION ${fuchsiaspring_package_dir} COMPONENT development)
  if(NOT component STREQUAL "schema")
    install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/fuchsiaspring/${component}
      DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/fuchsiaspring COMPONENT development
      FILES_MATCHING PATTERN "*.h")
  endif()
endforeach()
install(DIRECTORY ${PROJECT_SOURCE_DIR}/src/schema/
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/fuchsiaspring/schema COMPONENT development
  FILES_MATCHING PATTERN "*.pb.h")

configure_package_config_file(${PROJECT_SOURCE_DIR}/cmake/fuchsiaspring-config.cmake.in
  ${PROJECT_BINARY_DIR}/fuchsiaspring-config.cmake
  INSTALL_DESTINATION ${fuchsiaspring_package_dir})
# Before version 1.0 a minor version may change interfaces.
write_basic_package_version_file(${PROJECT_BINARY_DIR}/fuchsiaspring-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/fuchsiaspring-config.cmake
  ${PROJECT_BINARY_DIR}/fuchsiaspring-config-version.cmake
  DESTINATION ${fuchsiaspring_package_dir} COMPONENT development)

install(TARGETS fuchsia-gateway fuchsia-scheduler fuchsia-agent fuchsiactl
  RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR} COMPONENT programs)
# The units contain the path /usr/bin and work unchanged only with the prefix /usr.
install(FILES
  ${PROJECT_SOURCE_DIR}/packaging/systemd/fuchsia-agent.service
  ${PROJECT_SOURCE_DIR}/packaging/systemd/fuchsia-gateway.service
  ${PROJECT_SOURCE_DIR}/packaging/systemd/fuchsia-scheduler.service
  DESTINATION lib/systemd/system COMPONENT programs)
