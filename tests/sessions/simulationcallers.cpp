#include "tests/sessions/simulationstate.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

CallerSessionId Simulation::open(std::size_t Index, const std::string &Route) {
  CallerSessionId Id = ++LastSession_;
  Routes_[Id] = Route;
  Hosts_[Index]->Engine->sessions().open(Id, Route, {}, Now_);
  return Id;
}

void Simulation::send(std::size_t Index, CallerSessionId Session,
                      StatementVerb Verb, const std::string &Text,
                      StatementKind Access) {
  CallerStatement Statement;
  Statement.Id = std::to_string(++LastStatement_);
  Statement.Verb = Verb;
  switch (Verb) {
  case StatementVerb::Read:
    Statement.Text = "READ " + Text;
    break;
  case StatementVerb::Write:
    Statement.Text = "WRITE " + Text;
    break;
  case StatementVerb::Commit:
    Statement.Text = "COMMIT";
    break;
  case StatementVerb::SetVariable:
    Statement.Name = Text;
    Statement.Argument = Text;
    break;
  case StatementVerb::Prepare:
    Statement.Access = Access;
    Statement.Name = "s";
    Statement.Argument = Text;
    break;
  case StatementVerb::Execute:
    Statement.Name = "s";
    Statement.Argument = "x";
    break;
  default:
    break;
  }
  Answers_.erase(Session);
  PendingStatement Pending;
  Pending.StatementId = Statement.Id;
  Pending.SentAt = Now_;
  Pending.Verb = Verb;
  Pending.Text = Text;
  Pending.Route = Routes_[Session];
  Pending_[Session] = Pending;
  atHost(Index, Milliseconds{0}, [this, Index, Session, Statement] {
    Hosts_[Index]->Engine->sessions().onStatement(Session, Statement, Now_);
  });
}

void Simulation::recordAnswer(CallerSessionId Session,
                              const StatementAnswer &Answer) {
  Answers_[Session] = Answer;
  auto Found = Pending_.find(Session);
  if (Found == Pending_.end())
    return;
  PendingStatement Pending = std::move(Found->second);
  Pending_.erase(Found);
  bool Done = Answer.Code == StatementCode::Done;
  if (Done && Pending.Commit) {
    std::vector<Ack> &Acks = Acknowledged_[Pending.Commit->Term];
    std::uint64_t Index = Pending.Commit->Index;
    std::uint64_t Before = Acks.empty() ? 0 : Acks.back().MaxIndex;
    Acks.push_back({Now_, Index, std::max(Before, Index)});
    OwnWrites_[Session] = *Pending.Commit;
    ++Writes_;
    if (Pending.AfterPromotion)
      recordEvent("write acknowledged after a promotion, session " +
                  std::to_string(Session));
    if (Pending.AfterPromotion)
      Violations_.push_back("a write was acknowledged at " + Pending.Database +
                            " after another database was promoted");
  }
  if (Done && Pending.HasRead) {
    ++Reads_;
    Missing_.insert(Missing_.end(), Pending.Missing.begin(),
                    Pending.Missing.end());
  }
  bool MeansNothingKept = Answer.Code == StatementCode::Busy ||
                          Answer.Code == StatementCode::Aborted ||
                          Answer.Code == StatementCode::ReadOnly ||
                          Answer.Code == StatementCode::Behind;
  if (MeansNothingKept && Pending.Commit)
    Violations_.push_back(
        "a commit was answered with a code that means nothing was kept");
}

std::optional<StatementAnswer>
Simulation::answerOf(CallerSessionId Session) const {
  auto Found = Answers_.find(Session);
  if (Found == Answers_.end())
    return std::nullopt;
  return Found->second;
}

void Simulation::forgetPreparedStatements(const DatabaseId &Id) {
  for (auto &Host : Hosts_)
    for (auto &[Number, Connection] : Host->Connections)
      if (Connection->Database == Id)
        Connection->Prepared.clear();
}

StatementAnswer Simulation::prepare(std::size_t Index, CallerSessionId Session,
                                    const PreparedShape &Prepared) {
  send(Index, Session, StatementVerb::Prepare, Prepared.Shape, Prepared.Access);
  run(Milliseconds{5});
  return answerOf(Session).value();
}

StatementAnswer Simulation::ask(std::size_t Index, CallerSessionId Session,
                                StatementVerb Verb, const std::string &Text) {
  send(Index, Session, Verb, Text);
  for (int Step = 0; Step < 1000 && !answerOf(Session); ++Step)
    run(Milliseconds{5});
  return answerOf(Session).value();
}

void Simulation::nextStatement(std::size_t Index, CallerSessionId Session,
                               const std::string &Route, TimePoint Until) {
  if (Now_ >= Until)
    return;
  std::uint64_t Incarnation = Hosts_[Index]->Incarnation;
  if (!Pending_.contains(Session)) {
    bool Writes = Route != "bounded" &&
                  std::uniform_int_distribution<>(0, 2)(Random_) == 0;
    send(Index, Session, Writes ? StatementVerb::Write : StatementVerb::Read);
  }
  Milliseconds Pause{std::uniform_int_distribution<>(5, 60)(Random_)};
  after(Pause, [this, Index, Session, Route, Until, Incarnation] {
    if (Hosts_[Index]->Incarnation == Incarnation) {
      nextStatement(Index, Session, Route, Until);
      return;
    }
    // The host's process ended, and the session with it.
    Pending_.erase(Session);
    nextStatement(Index, open(Index, Route), Route, Until);
  });
}

void Simulation::startCallers(std::size_t PerHost, Milliseconds Span) {
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
    for (std::size_t Count = 0; Count < PerHost; ++Count)
      for (const char *Route : {"primary", "bounded", "own"})
        nextStatement(Index, open(Index, Route), Route, Now_ + Span);
}

std::vector<std::string> Simulation::violations() const {
  std::vector<std::string> All = Violations_;
  // Reads need not see commits that a promotion rolled back.
  for (const MissingCommits &Gap : Missing_) {
    auto Limit = SurvivingIndex_.find(Gap.Term);
    std::uint64_t Needed = Limit == SurvivingIndex_.end()
                               ? Gap.Needed
                               : std::min(Gap.Needed, Limit->second);
    auto Acks = Acknowledged_.find(Gap.Term);
    bool Kept =
        Acks != Acknowledged_.end() &&
        std::any_of(Acks->second.begin(), Acks->second.end(),
                    [&](const Ack &Known) {
                      return Known.Index > Gap.Held && Known.Index <= Needed;
                    });
    if (Kept)
      All.push_back("a read at " + Gap.Database +
                    " did not see commits of term " + std::to_string(Gap.Term) +
                    " after index " + std::to_string(Gap.Held));
  }
  return All;
}

} // namespace nutmegloom
