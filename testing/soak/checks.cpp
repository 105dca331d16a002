#include "testing/soak/checks.h"

namespace nutmegloom::testing {

namespace {

/// Text of a statement. The proxy may change the name of a prepared statement,
/// which must be one word, so an EXECUTE is compared without it.
template <typename Statement> std::string withoutName(const Statement &Of) {
  constexpr std::string_view Verb = "EXECUTE ";
  if (!Of.Prepared)
    return Of.Text;
  std::size_t End = Of.Text.find(' ', Verb.size());
  return End == std::string::npos ? "" : Of.Text.substr(End);
}

/// Checks the statements that databases executed, then the writes of the
/// callers.
class ExecutionChecker {
public:
  explicit ExecutionChecker(const Callers &From) : Callers_(From) {}

  void add(const SessionDatabases::Run &Execution) {
    auto Found = Callers_.sent().find(Execution.Statement);
    if (Found == Callers_.sent().end()) {
      report("a statement ran that no caller sent", Execution);
      return;
    }
    const SentStatement &Sent = Found->second;
    if (withoutName(Sent) != withoutName(Execution))
      report("a statement ran with another text, sent as \"" + Sent.Text + "\"",
             Execution);
    else if (Sent.Prepared != Execution.Prepared)
      report("a prepared statement ran as another one", Execution);
    auto Value = Execution.Values.find(Callers::ValueName);
    bool HasOwnValue = Execution.Values.size() == 1 &&
                       Value != Execution.Values.end() &&
                       Value->second == std::to_string(Sent.Caller);
    if (!HasOwnValue)
      report("a statement ran with the values of another session", Execution);
    checkTransaction(Sent, Execution);
    if (Execution.Committed && Sent.writes())
      ++KeptCounts_[Execution.Statement];
  }

  std::vector<std::string> finish() {
    for (const auto &[Id, Sent] : Callers_.sent()) {
      if (Sent.NameUnknown)
        Violations_.push_back("a name is unknown that was prepared: " + Id +
                              " " + Sent.Text);
      if (Sent.writes())
        checkWrite(Id, Sent);
    }
    return std::move(Violations_);
  }

private:
  void report(const std::string &Description,
              const SessionDatabases::Run &Execution) {
    Violations_.push_back(Description + ": " + Execution.Statement + " " +
                          Execution.Text + " at " + Execution.Database);
  }

  /// All statements in one database transaction must be of the same caller's
  /// transaction.
  void checkTransaction(const SentStatement &Sent,
                        const SessionDatabases::Run &Execution) {
    if ((Sent.Transaction == 0) != (Execution.Transaction == 0)) {
      report("a statement ran outside its transaction or inside another one",
             Execution);
      return;
    }
    if (Sent.Transaction == 0)
      return;
    auto Owner =
        Owners_.try_emplace(Execution.Transaction, Sent.Transaction).first;
    if (Owner->second != Sent.Transaction)
      report("a statement ran inside another caller's transaction", Execution);
  }

  void checkWrite(const std::string &Id, const SentStatement &Sent) {
    std::size_t KeptCount = KeptCounts_.contains(Id) ? KeptCounts_[Id] : 0;
    ReportedOutcome Answer = Sent.Answer;
    if (Sent.Transaction != 0) {
      auto Commit = Callers_.commits().find(Sent.Transaction);
      bool Done = Commit != Callers_.commits().end();
      // A transaction whose commit was never sent must have no effect.
      ReportedOutcome Ended = Done ? Commit->second : ReportedOutcome::NotKept;
      Answer = Sent.Answer == ReportedOutcome::Done ? Ended
                                                    : ReportedOutcome::NotKept;
    }
    if (KeptCount > 1)
      Violations_.push_back("a write was kept twice: " + Id);
    if (Answer == ReportedOutcome::Done && KeptCount == 0)
      Violations_.push_back("an acknowledged write is not kept: " + Id);
    if (Answer == ReportedOutcome::NotKept && KeptCount > 0)
      Violations_.push_back("a write is kept that was reported as not kept: " +
                            Id);
  }

  const Callers &Callers_;
  std::map<std::string, std::size_t> KeptCounts_;
  /// Transactions of the callers, by number of the database transaction.
  std::map<std::uint64_t, std::uint64_t> Owners_;
  std::vector<std::string> Violations_;
};

} // namespace

std::vector<std::string>
findViolations(const Callers &From,
               const std::vector<SessionDatabases::Run> &Runs) {
  ExecutionChecker Check(From);
  for (const SessionDatabases::Run &Execution : Runs)
    Check.add(Execution);
  return Check.finish();
}

} // namespace nutmegloom::testing
