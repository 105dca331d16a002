#ifndef NUTMEGLOOM_TESTING_HISTORY_CHECKER_H
#define NUTMEGLOOM_TESTING_HISTORY_CHECKER_H

#include "testing/history/operation.h"

#include <string_view>

namespace nutmegloom::testing {

enum class ViolationKind {
  /// A read lacks an earlier acknowledged write of its own session.
  StaleRead,
  /// An acknowledged write was lost and its session was not told so.
  LostWrite,
  /// A write took effect more than once.
  DuplicateWrite,
  /// A write took effect although all its attempts were reported as not run.
  RanAlthoughNotRun,
  /// The answer to a request can't be the result of this request.
  WrongAnswer,
  /// A transaction took effect only in part, did not see its own changes, or
  /// was
  /// interleaved with other statements.
  MixedTransaction,
  /// The history can't be checked: there is no final read of a list.
  Incomplete,
};
std::string_view nameOf(ViolationKind Kind);

struct Violation {
  ViolationKind Kind = ViolationKind::Incomplete;
  /// Id of the operation in which the violation was found.
  std::string Operation;
  std::string Detail;
};

/// Returns the consistency violations that can be found in the history.
std::vector<Violation>
checkHistory(const std::vector<HistoryOperation> &Operations);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_HISTORY_CHECKER_H
