#include "testing/scenario/scenariorunner.h"

#include "testing/scenario/luavalue.h"

#include <lua.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace nutmegloom::testing {

using nlohmann::json;

/// Blocks of loopback addresses; one scenario uses one block.
static constexpr int AddressBlocks = 250;

/// Lua leaves a C function by longjmp on an error, so the member function has
/// returned and its objects are gone before the error is raised.
template <ScenarioRunner::Function Member>
int ScenarioRunner::call(lua_State *State) {
  auto *Self = *static_cast<ScenarioRunner **>(lua_getextraspace(State));
  int Results = -1;
  try {
    Results = (Self->*Member)(State);
  } catch (const std::exception &Error) {
    luaL_where(State, 1);
    lua_pushstring(State, Error.what());
    lua_concat(State, 2);
  }
  return Results >= 0 ? Results : lua_error(State);
}

ScenarioRunner::ScenarioRunner(std::string Build, std::string Sources,
                               std::string Folder)
    : Build_(std::move(Build)), Sources_(std::move(Sources)),
      Folder_(std::move(Folder)), Processes_(Folder_), State_(luaL_newstate()) {
  *static_cast<ScenarioRunner **>(lua_getextraspace(State_)) = this;
  luaL_openlibs(State_);
  registerFunctions();
}

ScenarioRunner::~ScenarioRunner() { lua_close(State_); }

void ScenarioRunner::registerFunctions() {
  using Self = ScenarioRunner;
  const luaL_Reg Functions[] = {{"start", &call<&Self::startProcess>},
                                {"signal", &call<&Self::signalProcess>},
                                {"exit_code", &call<&Self::exitCode>},
                                {"cpu_ms", &call<&Self::cpuMilliseconds>},
                                {"output", &call<&Self::processOutput>},
                                {"http_start", &call<&Self::startHttp>},
                                {"http_take", &call<&Self::takeHttp>},
                                {"http_close", &call<&Self::closeHttp>},
                                {"proceed", &call<&Self::proceed>},
                                {"now_ms", &call<&Self::now>},
                                {"encode", &call<&Self::encodeJson>},
                                {"decode", &call<&Self::decodeJson>},
                                {"write_file", &call<&Self::writeFile>},
                                {"read_file", &call<&Self::readFile>},
                                {nullptr, nullptr}};
  lua_newtable(State_);
  luaL_setfuncs(State_, Functions, 0);
  const int Block = getpid();
  const std::string Prefix =
      "127." + std::to_string(1 + Block % AddressBlocks) + "." +
      std::to_string(Block / AddressBlocks % AddressBlocks) + ".";
  for (const auto &[Name, Value] :
       {std::pair("build", Build_), std::pair("sources", Sources_),
        std::pair("folder", Folder_), std::pair("address_prefix", Prefix)}) {
    lua_pushstring(State_, Value.c_str());
    lua_setfield(State_, -2, Name);
  }
  for (const auto &[Name, Signal] :
       {std::pair("SIGKILL", SIGKILL), std::pair("SIGTERM", SIGTERM),
        std::pair("SIGSTOP", SIGSTOP), std::pair("SIGCONT", SIGCONT)}) {
    lua_pushinteger(State_, Signal);
    lua_setfield(State_, -2, Name);
  }
  lua_setglobal(State_, "runner");
}

static int addTraceback(lua_State *State) {
  luaL_traceback(State, State, lua_tostring(State, 1), 1);
  return 1;
}

std::string ScenarioRunner::load(const std::string &Path) {
  lua_settop(State_, 0);
  lua_pushcfunction(State_, addTraceback);
  if (luaL_loadfile(State_, Path.c_str()) == LUA_OK &&
      lua_pcall(State_, 0, 0, 1) == LUA_OK)
    return {};
  const char *Text = lua_tostring(State_, -1);
  return Text ? Text : "unknown error";
}

std::string ScenarioRunner::run(const std::string &Script) {
  std::string Error = load(Sources_ + "/testing/scenario/scenario.lua");
  if (Error.empty())
    Error = load(Script);
  return Error;
}

int ScenarioRunner::startProcess(lua_State *State) {
  const std::string Name = readLuaText(State, 1);
  const std::string Program = Build_ + "/" + readLuaText(State, 2);
  std::vector<std::string> Arguments;
  const json Given = readLuaValue(State, 3);
  for (const json &Argument : Given)
    Arguments.push_back(Argument.is_string() ? Argument.get<std::string>()
                                             : Argument.dump());
  Processes_.start(Name, Program, Arguments);
  return 0;
}

int ScenarioRunner::signalProcess(lua_State *State) {
  Processes_.sendSignal(readLuaText(State, 1),
                        static_cast<int>(lua_tointeger(State, 2)));
  return 0;
}

int ScenarioRunner::exitCode(lua_State *State) {
  const auto Code = Processes_.exitCode(readLuaText(State, 1));
  if (Code)
    lua_pushinteger(State, *Code);
  else
    lua_pushnil(State);
  return 1;
}

int ScenarioRunner::cpuMilliseconds(lua_State *State) {
  lua_pushnumber(State, Processes_.cpuMilliseconds(readLuaText(State, 1)));
  return 1;
}

static std::string textOfFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return std::move(Text).str();
}

int ScenarioRunner::processOutput(lua_State *State) {
  const std::string Text =
      textOfFile(Processes_.outputPath(readLuaText(State, 1)));
  lua_pushlstring(State, Text.data(), Text.size());
  return 1;
}

int ScenarioRunner::startHttp(lua_State *State) {
  HttpRequest Request;
  Request.Method = readLuaField(State, 1, "method", "GET");
  Request.Target = readLuaField(State, 1, "path", "/");
  Request.Body = readLuaField(State, 1, "body", "");
  lua_getfield(State, 1, "headers");
  const json Headers = readLuaValue(State, -1);
  for (const auto &[Name, Value] : Headers.items())
    Request.Headers.emplace_back(Name, Value.get<std::string>());
  lua_getfield(State, 1, "timeout_ms");
  const auto Timeout =
      lua_isinteger(State, -1) ? lua_tointeger(State, -1) : lua_Integer(10000);
  const std::uint64_t Number =
      Calls_.start(readLuaField(State, 1, "address", ""),
                   readLuaField(State, 1, "connection", ""), std::move(Request),
                   std::chrono::milliseconds(Timeout));
  lua_pushinteger(State, static_cast<lua_Integer>(Number));
  return 1;
}

static std::string_view nameOfFailure(HttpFailureKind Kind) {
  switch (Kind) {
  case HttpFailureKind::BadAddress:
    return "bad_address";
  case HttpFailureKind::NotConnected:
    return "not_connected";
  case HttpFailureKind::Withdrawn:
    return "withdrawn";
  case HttpFailureKind::Broken:
    return "broken";
  case HttpFailureKind::TimedOut:
    return "timed_out";
  case HttpFailureKind::Malformed:
    return "malformed";
  }
  return "invalid";
}

int ScenarioRunner::takeHttp(lua_State *State) {
  const auto Result =
      Calls_.take(static_cast<std::uint64_t>(lua_tointeger(State, 1)));
  json Value;
  if (Result) {
    if (const auto *Failure = std::get_if<HttpFailure>(&*Result)) {
      Value = {{"failure", nameOfFailure(Failure->Kind)},
               {"detail", Failure->Detail}};
    } else {
      const auto &Response = std::get<HttpResponse>(*Result);
      Value = {{"status", Response.Status},
               {"text", Response.Body},
               {"token", Response.header("Session-Token")},
               {"etag", Response.header("ETag")},
               {"retry_after", Response.header("Retry-After")}};
    }
  }
  pushLuaValue(State, Value);
  return 1;
}

int ScenarioRunner::closeHttp(lua_State *State) {
  Calls_.closeConnection(readLuaText(State, 1));
  return 0;
}

int ScenarioRunner::proceed(lua_State *State) {
  Calls_.proceed(std::chrono::milliseconds(lua_tointeger(State, 1)));
  return 0;
}

int ScenarioRunner::now(lua_State *State) {
  lua_pushnumber(State, std::chrono::duration<double, std::milli>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count());
  return 1;
}

int ScenarioRunner::encodeJson(lua_State *State) {
  const std::string Text = readLuaValue(State, 1).dump();
  lua_pushlstring(State, Text.data(), Text.size());
  return 1;
}

int ScenarioRunner::decodeJson(lua_State *State) {
  pushLuaValue(State, json::parse(readLuaText(State, 1), nullptr, false));
  return 1;
}

int ScenarioRunner::writeFile(lua_State *State) {
  const std::filesystem::path Path = Folder_ + "/" + readLuaText(State, 1);
  std::filesystem::create_directories(Path.parent_path());
  std::ofstream File(Path);
  File << readLuaText(State, 2);
  if (!File.flush())
    throw std::runtime_error("cannot write " + Path.string());
  lua_pushstring(State, Path.c_str());
  return 1;
}

int ScenarioRunner::readFile(lua_State *State) {
  const std::string Text = textOfFile(readLuaText(State, 1));
  lua_pushlstring(State, Text.data(), Text.size());
  return 1;
}

} // namespace nutmegloom::testing
