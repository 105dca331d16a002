#ifndef NUTMEGLOOM_NUTMEGLOOMD_DATABASELINKS_H
#define NUTMEGLOOM_NUTMEGLOOMD_DATABASELINKS_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/databaseconnection.h"

#include <unordered_map>

namespace nutmegloom {

/// Connections to the service and control ports of databases.
class DatabaseLinks {
public:
  explicit DatabaseLinks(HostContext &Context);

  void open(ConnectionId Id, const DatabaseId &Database);
  void close(ConnectionId Id);
  void send(ConnectionId Id, const DatabaseRequest &Request);

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
