#ifndef NUTMEGLOOM_TESTING_SCENARIO_LUAVALUE_H
#define NUTMEGLOOM_TESTING_SCENARIO_LUAVALUE_H

#include <nlohmann/json_fwd.hpp>

#include <string>

struct lua_State;

namespace nutmegloom::testing {

/// The Lua value at the index as JSON. A table with the keys 1 to n becomes an
/// array, any other table an object; an empty table becomes an object unless
/// it was made by array(). Throws std::runtime_error for other values.
nlohmann::json readLuaValue(lua_State *State, int Index);

/// Pushes a JSON value. null becomes nil, also within tables.
void pushLuaValue(lua_State *State, const nlohmann::json &Value);

/// Text of the field, or the default when it is absent.
std::string readLuaField(lua_State *State, int Index, const char *Name,
                         const std::string &Default);

/// The text at the index. Throws std::runtime_error if it is none.
std::string readLuaText(lua_State *State, int Index);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SCENARIO_LUAVALUE_H
