#include "tests/core/fakegroup.h"

#include <algorithm>

namespace nutmegloom {

TermHistory FakeDatabase::terms() const {
  TermHistory Terms;
  for (std::size_t At = 0; At < Log.size(); ++At)
    if (Terms.empty() || Terms.back().Term != Log[At].Term)
      Terms.push_back({Log[At].Term, At});
  return Terms;
}

std::size_t FakeDatabase::countOf(const std::string &Key) const {
  return static_cast<std::size_t>(
      std::count_if(Log.begin(), Log.end(), [&](const Entry &Each) {
        return Each.Key == Key && !Each.Closed;
      }));
}

void FakeDatabase::append(const std::string &Key, bool Closed,
                          std::uint64_t Fingerprint, TimePoint Now) {
  Log.push_back({Term, Key, Closed, Fingerprint, Now});
}

std::variant<DatabaseAnswer, DatabaseFailure>
FakeDatabase::execute(ConnectionId Connection, const DatabaseRequest &Request,
                      TimePoint Now) {
  DatabaseFailure Refusal;
  Refusal.Exchange = Request.Exchange;
  Refusal.Term = Term;
  const bool Changes = Request.Operation != DatabaseOperation::Execute ||
                       Request.Kind == StatementKind::Write;
  if (Request.Term != Term || (Changes && Role != DatabaseRole::Primary)) {
    Refusal.Kind = DatabaseFailureKind::TermMismatch;
    return Refusal;
  }
  DatabaseAnswer Answer;
  Answer.Exchange = Request.Exchange;
  Answer.Database = Id;
  Answer.Term = Term;
  const auto ReportEntry = [&](std::size_t At) {
    Answer.LogTerm = Log[At].Term;
    Answer.Index = At + 1;
  };
  switch (Request.Operation) {
  case DatabaseOperation::Begin:
    OpenTransactions[Connection] = 0;
    Answer.Transaction = "inner";
    return Answer;
  case DatabaseOperation::TransactionStatement:
  case DatabaseOperation::Rollback:
  case DatabaseOperation::Commit:
    if (!OpenTransactions.contains(Connection)) {
      Refusal.Kind = DatabaseFailureKind::NoTransaction;
      return Refusal;
    }
    if (Request.Operation == DatabaseOperation::TransactionStatement) {
      ++OpenTransactions[Connection];
      return Answer;
    }
    OpenTransactions.erase(Connection);
    if (Request.Operation == DatabaseOperation::Rollback)
      return Answer;
    break;
  case DatabaseOperation::Execute:
  case DatabaseOperation::CloseKey:
    break;
  }
  ++Executed;
  if (!Changes) {
    Answer.LogTerm = logTerm();
    Answer.Index = Log.size();
    Answer.Terms = terms();
    Answer.Result = countOf(Request.Statement) > 0 ? "found" : "absent";
    if (Role != DatabaseRole::Primary)
      Answer.Age =
          std::chrono::duration_cast<Milliseconds>(Now - LastPrimaryContact);
    return Answer;
  }
  const bool Close = Request.Operation == DatabaseOperation::CloseKey;
  const auto Known =
      std::find_if(Log.begin(), Log.end(),
                   [&](const Entry &Each) { return Each.Key == Request.Key; });
  if (Known != Log.end()) {
    if (!Close && Known->Closed)
      Refusal.Kind = DatabaseFailureKind::KeyClosed;
    else if (!Close && Known->Fingerprint != Request.Fingerprint)
      Refusal.Kind = DatabaseFailureKind::KeyReused;
    if (Refusal.Kind != DatabaseFailureKind::Broken)
      return Refusal;
    Answer.Key = Known->Closed ? KeyState::Closed : KeyState::Recorded;
    Answer.Replayed = !Close;
    ReportEntry(static_cast<std::size_t>(Known - Log.begin()));
    return Answer;
  }
  append(Request.Key, Close, Request.Fingerprint, Now);
  Answer.Key = Close ? KeyState::Closed : KeyState::None;
  ReportEntry(Log.size() - 1);
  return Answer;
}

DatabaseStatus FakeDatabase::status(TimePoint Now) const {
  DatabaseStatus Status;
  Status.Database = Id;
  Status.Term = Term;
  Status.Role = Role;
  Status.LogTerm = logTerm();
  Status.Received = Status.Applied = Log.size();
  Status.PrimaryContact =
      std::chrono::duration_cast<Milliseconds>(Now - LastPrimaryContact);
  if (Role != DatabaseRole::Primary)
    Status.Age = Status.PrimaryContact;
  Status.Leaving = Leaving;
  Status.Executing = Executing;
  Status.Terms = terms();
  return Status;
}

std::optional<std::uint64_t>
FakeDatabase::handleControl(const ControlRequest &Request, TimePoint Now) {
  if (Request.Command == ControlCommand::Fence) {
    if (Request.Term < Term ||
        (Request.Term == Term && Promoter != Request.Promoter))
      return Term;
    if (Request.Term > Term) {
      Role = DatabaseRole::Fenced;
      OpenTransactions.clear();
    }
    Term = Request.Term;
    Promoter = Request.Promoter;
    return std::nullopt;
  }
  if (Request.Command == ControlCommand::Promote) {
    if (Request.Term != Term || Promoter != Request.Promoter)
      return Term;
    if (Role == DatabaseRole::Primary)
      return std::nullopt;
    Role = DatabaseRole::Primary;
    append("", false, 0, Now);
    return std::nullopt;
  }
  if (Request.Term < Term)
    return Term;
  if (Role == DatabaseRole::Primary && Request.Term == Term)
    return Term;
  Role = DatabaseRole::Replica;
  OpenTransactions.clear();
  Term = Request.Term;
  return std::nullopt;
}

void FakeDatabase::pull(const FakeDatabase &Primary, TimePoint Now) {
  if (Isolated || Primary.Isolated || Role != DatabaseRole::Replica ||
      Term != Primary.Term)
    return;
  const auto Same = [](const Entry &Left, const Entry &Right) {
    return Left.Term == Right.Term;
  };
  const auto [Own, Theirs] = std::mismatch(
      Log.begin(), Log.end(), Primary.Log.begin(), Primary.Log.end(), Same);
  std::size_t At = static_cast<std::size_t>(Own - Log.begin());
  if (Now - Lag >= LastPrimaryContact)
    LastPrimaryContact = Now - Lag;
  if (At == Primary.Log.size() || Primary.Log[At].At + Lag > Now)
    return;
  Log.resize(At);
  for (; At < Primary.Log.size() && Primary.Log[At].At + Lag <= Now; ++At)
    Log.push_back(Primary.Log[At]);
}

} // namespace nutmegloom
