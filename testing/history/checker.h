#ifndef NUTMEGLOOM_TESTING_HISTORY_CHECKER_H
#define NUTMEGLOOM_TESTING_HISTORY_CHECKER_H

#include "testing/history/operation.h"

#include <string_view>

namespace nutmegloom::testing {

enum class ViolationKind {
  /// A session read older than its own acknowledged write.
  StaleRead,
  /// An acknowledged write vanished without its caller being told.
  LostWrite,
  /// A write ran more than once.
  DuplicateWrite,
  /// A write whose outcome was "not run" ran.
  RanAlthoughNotRun,
  /// An answer doesn't belong to the request that it was given to.
  WrongAnswer,
  /// A transaction took effect in part or with other callers' statements.
  MixedTransaction,
  /// The history can't be judged: a list has no final read.
  Incomplete,
};
std::string_view nameOf(ViolationKind Kind);

struct Violation {
  ViolationKind Kind = ViolationKind::Incomplete;
  /// Operation that shows it.
  std::string Operation;
  std::string Detail;
};

/// Decides from the history alone which invariants were broken.
std::vector<Violation>
checkHistory(const std::vector<HistoryOperation> &Operations);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_HISTORY_CHECKER_H
