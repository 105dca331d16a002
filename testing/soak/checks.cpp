#include "testing/soak/checks.h"

namespace nutmegloom::testing {

namespace {

/// Checks the runs one after the other.
class RunCheck {
public:
  explicit RunCheck(const Callers &From) : From_(From) {}

  void add(const SessionDatabases::Run &Ran) {
    auto Found = From_.sent().find(Ran.Statement);
    if (Found == From_.sent().end()) {
      report("a statement ran that no caller sent", Ran);
      return;
    }
    const SentStatement &Sent = Found->second;
    if (Sent.Text != Ran.Text)
      report("a statement ran with another text", Ran);
    auto Value = Ran.Values.find(Callers::ValueName);
    bool HasOwnValue = Ran.Values.size() == 1 && Value != Ran.Values.end() &&
                       Value->second == std::to_string(Sent.Caller);
    if (!HasOwnValue)
      report("a statement ran with the values of another session", Ran);
    checkTransaction(Sent, Ran);
    if (Ran.Committed && Ran.Text.starts_with("WRITE"))
      ++Kept_[Ran.Statement];
  }

  std::vector<std::string> finish() {
    for (const auto &[Id, Sent] : From_.sent())
      if (Sent.Text.starts_with("WRITE"))
        checkWrite(Id, Sent);
    return std::move(Broken_);
  }

private:
  void report(const std::string &What, const SessionDatabases::Run &Ran) {
    Broken_.push_back(What + ": " + Ran.Statement + " " + Ran.Text + " at " +
                      Ran.Database);
  }

  /// A transaction of a caller is one transaction of one database.
  void checkTransaction(const SentStatement &Sent,
                        const SessionDatabases::Run &Ran) {
    if ((Sent.Transaction == 0) != (Ran.Transaction == 0)) {
      report("a statement ran inside a foreign transaction or outside its own",
             Ran);
      return;
    }
    if (Sent.Transaction == 0)
      return;
    auto Owner = Owners_.try_emplace(Ran.Transaction, Sent.Transaction).first;
    if (Owner->second != Sent.Transaction)
      report("a statement ran inside another caller's transaction", Ran);
  }

  void checkWrite(const std::string &Id, const SentStatement &Sent) {
    std::size_t Times = Kept_.contains(Id) ? Kept_[Id] : 0;
    Told Answer = Sent.Answer;
    if (Sent.Transaction != 0) {
      auto Commit = From_.commits().find(Sent.Transaction);
      bool Done = Commit != From_.commits().end();
      // A transaction that was not asked to commit must leave nothing.
      Told Ended = Done ? Commit->second : Told::NotKept;
      Answer = Sent.Answer == Told::Done ? Ended : Told::NotKept;
    }
    if (Times > 1)
      Broken_.push_back("a write was kept twice: " + Id);
    if (Answer == Told::Done && Times == 0)
      Broken_.push_back("an acknowledged write is not kept: " + Id);
    if (Answer == Told::NotKept && Times > 0)
      Broken_.push_back("a write is kept that was reported as not kept: " + Id);
  }

  const Callers &From_;
  std::map<std::string, std::size_t> Kept_;
  /// Transactions of callers by those of the databases.
  std::map<std::uint64_t, std::uint64_t> Owners_;
  std::vector<std::string> Broken_;
};

} // namespace

std::vector<std::string>
brokenPromises(const Callers &From,
               const std::vector<SessionDatabases::Run> &Runs) {
  RunCheck Check(From);
  for (const SessionDatabases::Run &Ran : Runs)
    Check.add(Ran);
  return Check.finish();
}

} // namespace nutmegloom::testing
