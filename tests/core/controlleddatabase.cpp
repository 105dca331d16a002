#include "controlleddatabase.h"

#include <algorithm>

namespace nutmegloom {

DatabaseStatus ControlledDatabase::status(TimePoint Now) const {
  DatabaseStatus Status;
  Status.Database = Id;
  Status.Term = PromisedTerm;
  Status.Role = Role;
  Status.Leaving = Leaving;
  Status.LogTerm = Log.empty() ? 0 : Log.back();
  Status.Received = Status.Applied = Log.size();
  Status.PrimaryContact =
      std::chrono::duration_cast<Milliseconds>(Now - LastPrimaryContact);
  for (std::size_t Index = 0; Index < Log.size(); ++Index)
    if (Index == 0 || Log[Index] != Log[Index - 1])
      Status.Terms.push_back({Log[Index], Index});
  return Status;
}

bool ControlledDatabase::execute(const ControlRequest &Request) {
  switch (Request.Command) {
  case ControlCommand::Fence:
    if (Request.Term == PromisedTerm && Request.Promoter == Promoter)
      return true;
    if (Request.Term <= PromisedTerm)
      return false;
    PromisedTerm = Request.Term;
    Promoter = Request.Promoter;
    Role = DatabaseRole::Fenced;
    return true;
  case ControlCommand::Promote:
    if (Request.Term != PromisedTerm || Request.Promoter != Promoter)
      return false;
    if (Role == DatabaseRole::Fenced) {
      Role = DatabaseRole::Primary;
      Log.push_back(PromisedTerm);
    }
    return Role == DatabaseRole::Primary;
  case ControlCommand::Follow:
    if (Request.Term < PromisedTerm ||
        (Request.Term == PromisedTerm && Role == DatabaseRole::Primary))
      return false;
    if (Request.Term > PromisedTerm)
      Promoter.clear();
    PromisedTerm = Request.Term;
    Role = DatabaseRole::Replica;
    Primary = Request.PrimaryControl;
    return true;
  }
  return false;
}

bool ControlledDatabase::holds(const Position &Entry) const {
  return Entry.Index <= Log.size() && Log[Entry.Index - 1] == Entry.Term;
}

void ControlledDatabase::pullFrom(const ControlledDatabase &Source,
                                  TimePoint Now) {
  if (!Up || !Source.Up || Role != DatabaseRole::Replica ||
      Primary != Source.Id || Source.Role != DatabaseRole::Primary ||
      Source.PromisedTerm != PromisedTerm)
    return;
  LastPrimaryContact = Now;
  const auto Differs = std::mismatch(Log.begin(), Log.end(), Source.Log.begin(),
                                     Source.Log.end())
                           .first;
  Log.erase(Differs, Log.end());
  if (Log.size() < Source.Log.size())
    Log.push_back(Source.Log[Log.size()]);
}

} // namespace nutmegloom
