#ifndef NUTMEGLOOM_NUTMEGLOOMD_DATABASELINKS_H
#define NUTMEGLOOM_NUTMEGLOOMD_DATABASELINKS_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/databaseconnection.h"

#include <unordered_map>

namespace nutmegloom {

/// Connects the engine to the service and control ports of databases. Answers
/// and failures are reported to the engine.
class DatabaseLinks {
public:
  explicit DatabaseLinks(HostContext &Context);

  void open(ConnectionId Id, const DatabaseId &Database);
  /// Closes the connection. The engine gets no more reports about it.
  void close(ConnectionId Id);
  /// Sends the request. If the connection is closed, the engine is told of a
  /// failure of the kind NotConnected after this call has returned.
  void send(ConnectionId Id, const DatabaseRequest &Request);

  /// Requests the status. With a positive Wait the database responds when its
  /// received index passes After, its term changes or the wait is over.
  void pollStatus(const DatabaseId &Database, std::uint64_t After,
                  Milliseconds Wait);
  void sendCommand(const ControlRequest &Request);

  std::size_t connections() const { return Connections_.size(); }

private:
  struct Link {
    DatabaseId Database;
    std::shared_ptr<DatabaseConnection> Connection;
  };

  void onAnswer(ConnectionId Id, const DatabaseId &Database,
                std::variant<DatabaseAnswer, DatabaseFailure> Result);
  void onClosed(ConnectionId Id);
  std::string controlAddressOf(const DatabaseId &Database) const;

  HostContext &Context_;
  std::shared_ptr<DatabaseControl> Control_;
  std::unordered_map<ConnectionId, Link> Connections_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_DATABASELINKS_H
