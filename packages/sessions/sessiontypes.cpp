#include "sessions/sessiontypes.h"

#include <array>

namespace nutmegloom {

namespace {

constexpr std::array<std::string_view, 11> StatementVerbNames{
    "begin", "begin_read", "commit",  "rollback",   "read",      "write",
    "set",   "prepare",    "execute", "deallocate", "unreadable"};

constexpr std::array<std::string_view, 14> StatementCodeNames{
    "done",           "busy",       "aborted",      "behind",      "read_only",
    "wrong_database", "overloaded", "unknown_name", "no_database", "malformed",
    "failed",         "timed_out",  "in_doubt",     "denied"};

constexpr std::array<std::string_view, 11> CommandVerbNames{
    "forward", "begin",  "begin_read", "rollback", "set",   "prepare",
    "reset",   "status", "step_down",  "pause",    "resume"};

constexpr std::array<std::string_view, 3> ConsistencyModeNames{
    "primary", "bounded_staleness", "read_your_writes"};

constexpr std::array<std::string_view, 4> OpenFailureNames{
    "no_answer", "refused", "reset", "answered"};

constexpr std::array<std::string_view, 2> LeadershipPhaseNames{"settled",
                                                               "promoting"};

template <typename Enum, std::size_t Size>
std::string_view nameIn(const std::array<std::string_view, Size> &Names,
                        Enum Value) {
  return Names[static_cast<std::size_t>(Value)];
}

} // namespace

std::string_view nameOf(StatementVerb Verb) {
  return nameIn(StatementVerbNames, Verb);
}
std::string_view nameOf(StatementCode Code) {
  return nameIn(StatementCodeNames, Code);
}
std::string_view nameOf(OpenFailure Failure) {
  return nameIn(OpenFailureNames, Failure);
}
std::string_view nameOf(CommandVerb Verb) {
  return nameIn(CommandVerbNames, Verb);
}
std::string_view nameOf(ConsistencyMode Mode) {
  return nameIn(ConsistencyModeNames, Mode);
}
std::string_view nameOf(LeadershipPhase Phase) {
  return nameIn(LeadershipPhaseNames, Phase);
}

} // namespace nutmegloom
