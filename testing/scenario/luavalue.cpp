#include "testing/scenario/luavalue.h"

#include <lua.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace nutmegloom::testing {

using nlohmann::json;

/// Field of the metatable that marks an empty table as an array.
static constexpr const char *ArrayMark = "is_array";

static json readTable(lua_State *State, int Index) {
  json Object = json::object();
  json Array = json::array();
  const lua_Unsigned Length = lua_rawlen(State, Index);
  bool OnlyPlaces = true;
  lua_pushnil(State);
  while (lua_next(State, Index) != 0) {
    json Value = readLuaValue(State, lua_gettop(State));
    if (lua_type(State, -2) == LUA_TSTRING) {
      OnlyPlaces = false;
      Object[lua_tostring(State, -2)] = std::move(Value);
    }
    lua_pop(State, 1);
  }
  for (lua_Unsigned Place = 1; Place <= Length; ++Place) {
    lua_rawgeti(State, Index, static_cast<lua_Integer>(Place));
    Array.push_back(readLuaValue(State, lua_gettop(State)));
    lua_pop(State, 1);
  }
  if (luaL_getmetafield(State, Index, ArrayMark) != LUA_TNIL) {
    lua_pop(State, 1);
    return Array;
  }
  if (OnlyPlaces && Length > 0)
    return Array;
  return Object;
}

json readLuaValue(lua_State *State, int Index) {
  switch (lua_type(State, Index)) {
  case LUA_TNIL:
    return nullptr;
  case LUA_TBOOLEAN:
    return lua_toboolean(State, Index) != 0;
  case LUA_TNUMBER:
    if (lua_isinteger(State, Index))
      return lua_tointeger(State, Index);
    return lua_tonumber(State, Index);
  case LUA_TSTRING:
    return readLuaText(State, Index);
  case LUA_TTABLE:
    return readTable(State, lua_absindex(State, Index));
  default:
    throw std::runtime_error(std::string("a ") + luaL_typename(State, Index) +
                             " can't be sent as JSON");
  }
}

void pushLuaValue(lua_State *State, const json &Value) {
  switch (Value.type()) {
  case json::value_t::boolean:
    lua_pushboolean(State, Value.get<bool>() ? 1 : 0);
    return;
  case json::value_t::number_integer:
  case json::value_t::number_unsigned:
    lua_pushinteger(State, Value.get<lua_Integer>());
    return;
  case json::value_t::number_float:
    lua_pushnumber(State, Value.get<double>());
    return;
  case json::value_t::string: {
    const auto &Text = Value.get_ref<const std::string &>();
    lua_pushlstring(State, Text.data(), Text.size());
    return;
  }
  case json::value_t::array: {
    lua_createtable(State, static_cast<int>(Value.size()), 0);
    lua_Integer Place = 0;
    for (const json &Item : Value) {
      pushLuaValue(State, Item);
      lua_rawseti(State, -2, ++Place);
    }
    return;
  }
  case json::value_t::object:
    lua_newtable(State);
    for (const auto &[Key, Item] : Value.items()) {
      pushLuaValue(State, Item);
      lua_setfield(State, -2, Key.c_str());
    }
    return;
  default:
    lua_pushnil(State);
  }
}

std::string readLuaText(lua_State *State, int Index) {
  // A number is not converted: lua_tolstring would change a key in place.
  if (lua_type(State, Index) != LUA_TSTRING)
    throw std::runtime_error(std::string("a text is expected, not a ") +
                             luaL_typename(State, Index));
  std::size_t Length = 0;
  const char *Text = lua_tolstring(State, Index, &Length);
  return {Text, Length};
}

std::string readLuaField(lua_State *State, int Index, const char *Name,
                         const std::string &Default) {
  lua_getfield(State, Index, Name);
  std::string Value = Default;
  if (lua_type(State, -1) == LUA_TSTRING)
    Value = readLuaText(State, -1);
  lua_pop(State, 1);
  return Value;
}

} // namespace nutmegloom::testing
