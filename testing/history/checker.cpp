#include "testing/history/checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace nutmegloom::testing {

std::string_view nameOf(ViolationKind Kind) {
  switch (Kind) {
  case ViolationKind::StaleRead:
    return "stale_read";
  case ViolationKind::LostWrite:
    return "lost_write";
  case ViolationKind::DuplicateWrite:
    return "duplicate_write";
  case ViolationKind::RanAlthoughNotRun:
    return "ran_although_not_run";
  case ViolationKind::WrongAnswer:
    return "wrong_answer";
  case ViolationKind::MixedTransaction:
    return "mixed_transaction";
  case ViolationKind::Incomplete:
    return "incomplete";
  }
  return "invalid";
}

namespace {

/// Group and list.
using ListName = std::pair<std::string, std::string>;
using Items = std::vector<std::string>;

/// All attempts with one idempotency key.
struct IdempotentWrite {
  std::vector<const HistoryOperation *> Attempts;

  const HistoryOperation *acknowledged() const {
    for (const HistoryOperation *Attempt : Attempts)
      if (Attempt->Result == Outcome::Run)
        return Attempt;
    return nullptr;
  }
  /// True if all attempts were reported as not run. One such report is not
  /// enough: an earlier attempt of unknown outcome may have run.
  bool isReportedNotRun() const {
    return std::all_of(Attempts.begin(), Attempts.end(),
                       [](const HistoryOperation *Attempt) {
                         return Attempt->Result == Outcome::NotRun;
                       });
  }
};

class Checker {
public:
  explicit Checker(const std::vector<HistoryOperation> &Operations);

  std::vector<Violation> run();

private:
  void checkReads(const HistoryOperation &Operation);
  void checkItems(const HistoryOperation &Operation, const HistoryStep &Step);
  void checkOwnWrites(const HistoryOperation &Operation,
                      const HistoryStep &Step);
  void checkWrite(const IdempotentWrite &Attempts);
  void checkLength(const HistoryOperation &Operation, const HistoryStep &Step);
  /// True if the session got the error write_lost for the group after the time
  /// After and not later than Before.
  bool wasNotifiedOfLoss(const std::string &Session, const std::string &Group,
                         std::uint64_t After, std::uint64_t Before) const;
  void report(ViolationKind Kind, const HistoryOperation &Operation,
              std::string Detail);

  const std::vector<HistoryOperation> &Operations_;
  std::map<std::string, IdempotentWrite> Writes_;
  /// Idempotency key of the write that appends the value.
  std::map<std::string, std::string> KeyOfValue_;
  /// Results of the final reads.
  std::map<ListName, Items> Final_;
  std::map<std::string, std::vector<const HistoryOperation *>>
      AcknowledgedBySession_;
  std::vector<Violation> Violations_;
};

} // namespace

static bool isAppend(const HistoryStep &Step) { return !Step.Value.empty(); }

static std::size_t countOf(const Items &List, const std::string &Value) {
  return static_cast<std::size_t>(std::count(List.begin(), List.end(), Value));
}

Checker::Checker(const std::vector<HistoryOperation> &Operations)
    : Operations_(Operations) {
  for (const HistoryOperation &Operation : Operations_) {
    if (!Operation.Key.empty())
      Writes_[Operation.Key].Attempts.push_back(&Operation);
    for (const HistoryStep &Step : Operation.Steps) {
      if (isAppend(Step))
        KeyOfValue_[Step.Value] = Operation.Key;
      if (Operation.IsFinal && Step.Items)
        Final_[{Operation.Group, Step.List}] = *Step.Items;
    }
    if (!Operation.Key.empty() && Operation.Result == Outcome::Run)
      AcknowledgedBySession_[Operation.Session].push_back(&Operation);
  }
}

void Checker::report(ViolationKind Kind, const HistoryOperation &Operation,
                     std::string Detail) {
  Violations_.push_back({Kind, Operation.Id, std::move(Detail)});
}

std::vector<Violation> Checker::run() {
  for (const HistoryOperation &Operation : Operations_)
    checkReads(Operation);
  for (const auto &[Key, Attempts] : Writes_)
    checkWrite(Attempts);
  return std::move(Violations_);
}

bool Checker::wasNotifiedOfLoss(const std::string &Session,
                                const std::string &Group, std::uint64_t After,
                                std::uint64_t Before) const {
  return std::any_of(Operations_.begin(), Operations_.end(),
                     [&](const HistoryOperation &Operation) {
                       return Operation.Session == Session &&
                              Operation.Group == Group &&
                              Operation.Error == "write_lost" &&
                              Operation.AnsweredAt > After &&
                              Operation.AnsweredAt <= Before;
                     });
}

void Checker::checkReads(const HistoryOperation &Operation) {
  std::map<std::string, std::string> Appended;
  for (const HistoryStep &Step : Operation.Steps) {
    if (isAppend(Step))
      Appended[Step.List] = Step.Value;
    if (!Step.Items)
      continue;
    const auto Pending = Appended.find(Step.List);
    if (Pending != Appended.end() && countOf(*Step.Items, Pending->second) == 0)
      report(ViolationKind::MixedTransaction, Operation,
             "a read in the transaction lacks its own earlier append of " +
                 Pending->second);
    checkItems(Operation, Step);
    checkOwnWrites(Operation, Step);
  }
}

void Checker::checkItems(const HistoryOperation &Operation,
                         const HistoryStep &Step) {
  std::set<std::string> Seen;
  for (const std::string &Value : *Step.Items) {
    if (!Seen.insert(Value).second)
      report(ViolationKind::DuplicateWrite, Operation,
             Value + " appears in " + Step.List + " more than once");
    const auto Key = KeyOfValue_.find(Value);
    if (!Value.starts_with(Step.List + "/") || Key == KeyOfValue_.end()) {
      report(ViolationKind::WrongAnswer, Operation,
             Value + " was never appended to " + Step.List);
      continue;
    }
    const bool IsOwn = Key->second == Operation.Key;
    if (!IsOwn && Writes_.at(Key->second).isReportedNotRun())
      report(ViolationKind::RanAlthoughNotRun, Operation,
             Value + " is in " + Step.List +
                 " although all attempts were reported as not run");
  }
}

void Checker::checkOwnWrites(const HistoryOperation &Operation,
                             const HistoryStep &Step) {
  const auto Own = AcknowledgedBySession_.find(Operation.Session);
  if (Own == AcknowledgedBySession_.end())
    return;
  for (const HistoryOperation *Earlier : Own->second) {
    if (Earlier->Group != Operation.Group ||
        Earlier->AnsweredAt >= Operation.InvokedAt)
      continue;
    for (const HistoryStep &Written : Earlier->Steps) {
      if (!isAppend(Written) || Written.List != Step.List ||
          countOf(*Step.Items, Written.Value) > 0 ||
          wasNotifiedOfLoss(Operation.Session, Operation.Group,
                            Earlier->AnsweredAt, Operation.InvokedAt))
        continue;
      report(ViolationKind::StaleRead, Operation,
             "the read of " + Step.List + " lacks " + Written.Value +
                 ", which the session's own operation " + Earlier->Id +
                 " had appended");
    }
  }
}

void Checker::checkWrite(const IdempotentWrite &Attempts) {
  const HistoryOperation *Acknowledged = Attempts.acknowledged();
  const HistoryOperation &Reported =
      Acknowledged ? *Acknowledged : *Attempts.Attempts.front();
  std::size_t Appends = 0;
  std::size_t Present = 0;
  for (const HistoryStep &Step : Reported.Steps) {
    if (!isAppend(Step))
      continue;
    ++Appends;
    const auto List = Final_.find({Reported.Group, Step.List});
    if (List == Final_.end()) {
      report(ViolationKind::Incomplete, Reported,
             "there is no final read of " + Step.List);
      return;
    }
    if (countOf(List->second, Step.Value) > 0)
      ++Present;
  }
  if (Present > 0 && Present < Appends)
    report(ViolationKind::MixedTransaction, Reported,
           "only " + std::to_string(Present) + " of " +
               std::to_string(Appends) + " statements took effect");
  if (!Acknowledged)
    return;
  if (Present < Appends && !wasNotifiedOfLoss(Reported.Session, Reported.Group,
                                              Reported.AnsweredAt, UINT64_MAX))
    report(ViolationKind::LostWrite, Reported,
           "the acknowledged write is not in the final read");
  for (const HistoryStep &Step : Reported.Steps)
    checkLength(Reported, Step);
}

/// Compares the length that an append returned with the position of its value
/// in the final list. They differ if the answer belongs to another request, or
/// if another statement ran in between.
void Checker::checkLength(const HistoryOperation &Operation,
                          const HistoryStep &Step) {
  if (!isAppend(Step) || !Step.Length)
    return;
  const Items &List = Final_.at({Operation.Group, Step.List});
  const auto Entry = std::find(List.begin(), List.end(), Step.Value);
  if (Entry == List.end())
    return;
  const auto Length = static_cast<std::uint64_t>(Entry - List.begin()) + 1;
  if (Length == *Step.Length)
    return;
  report(Operation.IsTransaction ? ViolationKind::MixedTransaction
                                 : ViolationKind::WrongAnswer,
         Operation,
         "the append to " + Step.List + " returned length " +
             std::to_string(*Step.Length) + " but its value is at position " +
             std::to_string(Length));
}

std::vector<Violation>
checkHistory(const std::vector<HistoryOperation> &Operations) {
  return Checker(Operations).run();
}

} // namespace nutmegloom::testing
