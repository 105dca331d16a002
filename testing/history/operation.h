#ifndef NUTMEGLOOM_TESTING_HISTORY_OPERATION_H
#define NUTMEGLOOM_TESTING_HISTORY_OPERATION_H

#include "core/types.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace nutmegloom::testing {

/// One statement of an operation: a read of a list or an append to it. Every
/// appended value is unique and starts with the name of its list and a slash.
struct HistoryStep {
  std::string List;
  /// Value to append; empty for a read.
  std::string Value;
  /// What a read returned; absent when no answer came.
  std::optional<std::vector<std::string>> Items;
  /// Length of the list that an append returned.
  std::optional<std::uint64_t> Length;
};

/// What a caller sent and what it was told: a read, a write or a whole
/// transaction. A repeated attempt is an operation with the same key.
struct HistoryOperation {
  std::string Id;
  std::string Caller;
  std::string Session;
  std::string Group;
  /// Idempotency key; empty for reads.
  std::string Key;
  bool IsTransaction = false;
  /// A read at the end, when all else is done.
  bool IsFinal = false;
  std::vector<HistoryStep> Steps;
  /// Nanoseconds of the monotonic clock.
  std::uint64_t InvokedAt = 0;
  /// Zero: no answer came.
  std::uint64_t AnsweredAt = 0;
  Outcome Result = Outcome::Unknown;
  /// Error code; empty for success.
  std::string Error;
};

/// Lines of the two events of an operation, without line feed.
std::string encodeInvocation(const HistoryOperation &Operation);
std::string encodeAnswer(const HistoryOperation &Operation);

/// Reads a history. Throws std::runtime_error for a line that isn't valid.
std::vector<HistoryOperation> readHistory(std::istream &Input);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_HISTORY_OPERATION_H
