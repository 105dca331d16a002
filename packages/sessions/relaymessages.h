#ifndef NUTMEGLOOM_SESSIONS_RELAYMESSAGES_H
#define NUTMEGLOOM_SESSIONS_RELAYMESSAGES_H

#include "sessions/statementwork.h"

#include <variant>

namespace nutmegloom {

/// A statement that another host is asked to run. The deadline is told as the
/// time that is left, since clocks of hosts are not compared.
struct RelayedStatement {
  StatementWork Work;
  Milliseconds TimeLeft{0};
  /// It belongs to the transaction that the session has open there.
  bool InOpenTransaction = false;
  /// Tells the statements of a session apart.
  std::uint64_t Number = 0;
};

/// The session needs nothing more: its statement is dropped, and its
/// transaction is rolled back.
struct RelayedCancel {
  CallerSessionId Session = 0;
};

/// How a relayed statement ended.
struct RelayedResult {
  CallerSessionId Session = 0;
  StatementResult Result;
  /// The session has a transaction open there.
  bool InTransaction = false;
  /// Number of the statement.
  std::uint64_t Number = 0;
};

/// The connection of a session's open transaction is lost.
struct RelayedTransactionLoss {
  CallerSessionId Session = 0;
};

/// Asks for a sign of life.
struct RelayPing {};
/// Answers a ping.
struct RelayPong {
  /// Configuration that the sender goes by.
  std::uint64_t ConfigurationVersion = 0;
  /// The sender stops soon and takes no new work.
  bool Leaving = false;
};

/// Asks for the configuration that the receiver goes by.
struct ConfigurationRequest {};

/// What hosts send each other on a relay connection.
using RelayMessage =
    std::variant<RelayedStatement, RelayedCancel, RelayedResult,
                 RelayedTransactionLoss, RelayPing, RelayPong,
                 ConfigurationRequest, SessionConfiguration>;

/// Identifies an incoming relay connection inside one process. Never reused.
using RelayLinkId = std::uint64_t;

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_RELAYMESSAGES_H
