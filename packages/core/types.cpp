#include "core/types.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace nutmegloom {

namespace {

template <typename T> struct Named {
  T Value;
  std::string_view Name;
};

constexpr std::array<Named<StatementKind>, 2> StatementKinds{{
    {StatementKind::Read, "read"},
    {StatementKind::Write, "write"},
}};

constexpr std::array<Named<DatabaseRole>, 4> DatabaseRoles{{
    {DatabaseRole::Unknown, "unknown"},
    {DatabaseRole::Primary, "primary"},
    {DatabaseRole::Replica, "replica"},
    {DatabaseRole::Fenced, "fenced"},
}};

constexpr std::array<Named<HostState>, 4> HostStates{{
    {HostState::Unknown, "unknown"},
    {HostState::Starting, "starting"},
    {HostState::Ready, "ready"},
    {HostState::Leaving, "leaving"},
}};

constexpr std::array<Named<Outcome>, 3> Outcomes{{
    {Outcome::Run, "run"},
    {Outcome::NotRun, "not_run"},
    {Outcome::Unknown, "unknown"},
}};

constexpr std::array<Named<ErrorCode>, 17> ErrorCodes{{
    {ErrorCode::None, "none"},
    {ErrorCode::BadRequest, "bad_request"},
    {ErrorCode::TooLarge, "too_large"},
    {ErrorCode::HeaderTooLarge, "header_too_large"},
    {ErrorCode::NotFound, "not_found"},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
    {ErrorCode::Overloaded, "overloaded"},
    {ErrorCode::NoPrimary, "no_primary"},
    {ErrorCode::ConnectionLost, "connection_lost"},
    {ErrorCode::WriteLost, "write_lost"},
    {ErrorCode::KeyReused, "idempotency_key_reused"},
    {ErrorCode::KeyClosed, "idempotency_key_closed"},
    {ErrorCode::StatementFailed, "statement_failed"},
    {ErrorCode::TransactionLost, "transaction_lost"},
    {ErrorCode::NotReady, "not_ready"},
    {ErrorCode::OutcomeUnknown, "outcome_unknown"},
    {ErrorCode::Internal, "internal"},
}};

template <typename T, std::size_t N>
std::string_view findName(const std::array<Named<T>, N> &Table, T Value) {
  const auto *Entry = std::find_if(
      Table.begin(), Table.end(),
      [Value](const Named<T> &Candidate) { return Candidate.Value == Value; });
  return Entry == Table.end() ? std::string_view("invalid") : Entry->Name;
}

template <typename T, std::size_t N>
std::optional<T> findValue(const std::array<Named<T>, N> &Table,
                           std::string_view Name) {
  const auto *Entry = std::find_if(
      Table.begin(), Table.end(),
      [Name](const Named<T> &Candidate) { return Candidate.Name == Name; });
  if (Entry == Table.end())
    return std::nullopt;
  return Entry->Value;
}

} // namespace

std::string_view nameOf(StatementKind Kind) {
  return findName(StatementKinds, Kind);
}
std::string_view nameOf(DatabaseRole Role) {
  return findName(DatabaseRoles, Role);
}
std::string_view nameOf(HostState State) { return findName(HostStates, State); }
std::string_view nameOf(Outcome Value) { return findName(Outcomes, Value); }
std::string_view nameOf(ErrorCode Code) { return findName(ErrorCodes, Code); }

std::optional<StatementKind> statementKindOf(std::string_view Name) {
  return findValue(StatementKinds, Name);
}
std::optional<DatabaseRole> databaseRoleOf(std::string_view Name) {
  return findValue(DatabaseRoles, Name);
}
std::optional<HostState> hostStateOf(std::string_view Name) {
  return findValue(HostStates, Name);
}
std::optional<Outcome> outcomeOf(std::string_view Name) {
  return findValue(Outcomes, Name);
}
std::optional<ErrorCode> errorCodeOf(std::string_view Name) {
  return findValue(ErrorCodes, Name);
}

int httpStatusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::None:
    return 200;
  case ErrorCode::BadRequest:
    return 400;
  case ErrorCode::TooLarge:
    return 413;
  case ErrorCode::HeaderTooLarge:
    return 431;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::WriteLost:
  case ErrorCode::KeyClosed:
    return 409;
  case ErrorCode::KeyReused:
  case ErrorCode::StatementFailed:
    return 422;
  case ErrorCode::TransactionLost:
    return 410;
  case ErrorCode::Overloaded:
  case ErrorCode::NoPrimary:
  case ErrorCode::ConnectionLost:
  case ErrorCode::NotReady:
    return 503;
  case ErrorCode::DeadlineExceeded:
  case ErrorCode::OutcomeUnknown:
    return 504;
  case ErrorCode::Internal:
    return 500;
  }
  return 500;
}

} // namespace nutmegloom
