#ifndef NUTMEGLOOM_SESSIONS_RELAYMESSAGES_H
#define NUTMEGLOOM_SESSIONS_RELAYMESSAGES_H

#include "sessions/statementwork.h"

#include <variant>

namespace nutmegloom {

/// Asks another host to run a statement. The deadline is sent as the remaining
/// time, since the clocks of hosts are not synchronized.
struct RelayedStatement {
  StatementWork Work;
  Milliseconds TimeLeft{0};
  /// The statement belongs to a transaction that the session has open at the
  /// receiver.
  bool InOpenTransaction = false;
  /// Sequence number of the statement, so that the sender can ignore the result
  /// of an earlier one. Increases with each statement of the sender.
  std::uint64_t Number = 0;
};

/// Cancels the statement that the session has in progress at the receiver, and
/// rolls back its open transaction.
struct RelayedCancel {
  CallerSessionId Session = 0;
};

/// Result of a relayed statement, sent back by the host that ran it.
struct RelayedResult {
  CallerSessionId Session = 0;
  StatementResult Result;
  /// The session has a transaction open at the sender.
  bool InTransaction = false;
  /// Number of the statement, from RelayedStatement.
  std::uint64_t Number = 0;
};

/// Reports that the database connection of a session's open transaction was
/// lost, and the transaction with it.
struct RelayedTransactionLoss {
  CallerSessionId Session = 0;
};

/// Checks that the receiver still answers.
struct RelayPing {
  /// Zero: the sender does not need to know which ping an answer belongs to.
  std::uint64_t Number = 0;
};
/// Answers a ping.
struct RelayPong {
  /// Version of the configuration that the sender uses.
  std::uint64_t ConfigurationVersion = 0;
  /// The sender is draining; no new statements should be relayed to it.
  bool Leaving = false;
  /// Number of the ping that the message answers; zero: of none.
  std::uint64_t PingNumber = 0;
  /// Time since the version was last known to be the latest one; nothing: it
  /// never was.
  std::optional<Milliseconds> ConfigurationAge;
};

/// Asks another member for a part of its tokens for an account.
struct QuotaRequest {
  AccountName Account;
  double Tokens = 0;
  /// Number of the request at its sender.
  std::uint64_t Number = 0;
};
/// Answers a QuotaRequest with tokens that the receiver may use.
struct QuotaGrant {
  AccountName Account;
  double Tokens = 0;
  std::uint64_t Number = 0;
};

/// Asks for the configuration that the receiver uses.
struct ConfigurationRequest {};

/// Message on a relay connection between two hosts.
using RelayMessage =
    std::variant<RelayedStatement, RelayedCancel, RelayedResult,
                 RelayedTransactionLoss, RelayPing, RelayPong,
                 ConfigurationRequest, SessionConfiguration, QuotaRequest,
                 QuotaGrant>;

/// Identifies an incoming relay connection inside one process. Never reused.
using IncomingRelayId = std::uint64_t;

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_RELAYMESSAGES_H
