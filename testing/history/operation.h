#ifndef NUTMEGLOOM_TESTING_HISTORY_OPERATION_H
#define NUTMEGLOOM_TESTING_HISTORY_OPERATION_H

#include "core/types.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace nutmegloom::testing {

/// A statement of an operation: a read of a list or an append to it. Each
/// appended value is unique and has the form LIST/NAME.
struct HistoryStep {
  std::string List;
  /// Value to append; empty for a read.
  std::string Value;
  /// Items that a read returned; empty optional if it got no result.
  std::optional<std::vector<std::string>> Items;
  /// Length of the list that an append returned; empty if it got no result.
  std::optional<std::uint64_t> Length;
};

/// A request and its answer: a read, a write or a whole transaction. A retry of
/// a write is an operation of its own with the same idempotency key.
struct HistoryOperation {
  std::string Id;
  std::string Caller;
  std::string Session;
  std::string Group;
  /// Idempotency key; empty for reads.
  std::string Key;
  bool IsTransaction = false;
  /// A read of the final state, after all other operations have ended.
  bool IsFinal = false;
  std::vector<HistoryStep> Steps;
  /// Nanoseconds of the monotonic clock.
  std::uint64_t InvokedAt = 0;
  /// Zero if the history holds no answer.
  std::uint64_t AnsweredAt = 0;
  Outcome Result = Outcome::Unknown;
  /// Error code; empty for success.
  std::string Error;
};

/// JSON lines of an operation's two events in the history, without line feed.
std::string encodeInvocation(const HistoryOperation &Operation);
std::string encodeAnswer(const HistoryOperation &Operation);

/// Reads a history. Throws std::runtime_error, with the line number, for a
/// malformed line.
std::vector<HistoryOperation> readHistory(std::istream &Input);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_HISTORY_OPERATION_H
