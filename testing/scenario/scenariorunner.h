#ifndef NUTMEGLOOM_TESTING_SCENARIO_SCENARIORUNNER_H
#define NUTMEGLOOM_TESTING_SCENARIO_SCENARIORUNNER_H

#include "testing/scenario/httpcalls.h"
#include "testing/support/processtable.h"

#include <string>

struct lua_State;

namespace nutmegloom::testing {

/// Runs a scenario in Lua with functions that act on real processes. The
/// commands for scenarios are built on them in scenario.lua.
class ScenarioRunner {
public:
  /// Build is the folder of the programs, Sources that of the work tree,
  /// Folder an empty one for logs and data.
  ScenarioRunner(std::string Build, std::string Sources, std::string Folder);
  ~ScenarioRunner();
  ScenarioRunner(const ScenarioRunner &) = delete;
  ScenarioRunner &operator=(const ScenarioRunner &) = delete;

  /// Returns the error, or nothing when the scenario has passed.
  std::string run(const std::string &Script);

private:
  using Function = int (ScenarioRunner::*)(lua_State *);

  template <Function Member> static int call(lua_State *State);
  void registerFunctions();
  std::string load(const std::string &Path);

  int startProcess(lua_State *State);
  int signalProcess(lua_State *State);
  int exitCode(lua_State *State);
  int cpuMilliseconds(lua_State *State);
  int processOutput(lua_State *State);
  int startHttp(lua_State *State);
  int takeHttp(lua_State *State);
  int closeHttp(lua_State *State);
  int proceed(lua_State *State);
  int now(lua_State *State);
  int encodeJson(lua_State *State);
  int decodeJson(lua_State *State);
  int writeFile(lua_State *State);
  int readFile(lua_State *State);

  std::string Build_;
  std::string Sources_;
  std::string Folder_;
  ProcessTable Processes_;
  HttpCalls Calls_;
  lua_State *State_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SCENARIO_SCENARIORUNNER_H
