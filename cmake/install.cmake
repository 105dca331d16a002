# Installs man pages, shell completion and examples. Each package installs its
# own program.

file(GLOB ManPages CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/packages/*/*.1)
install(FILES ${ManPages} DESTINATION ${CMAKE_INSTALL_MANDIR}/man1)
install(FILES ${CMAKE_SOURCE_DIR}/packages/nutmegloomctl/nutmegloomctl.bash
  DESTINATION ${CMAKE_INSTALL_DATADIR}/bash-completion/completions
  RENAME nutmegloomctl)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/examples
  DESTINATION ${CMAKE_INSTALL_DOCDIR})
