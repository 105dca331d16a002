#ifndef NUTMEGLOOM_TESTING_SOAK_DEPLOYMENT_H
#define NUTMEGLOOM_TESTING_SOAK_DEPLOYMENT_H

#include "testing/soak/faultproxy.h"
#include "testing/standinsessions/objectapi.h"
#include "testing/standinsessions/sessiondatabases.h"
#include "testing/support/processtable.h"

#include <boost/asio/steady_timer.hpp>

namespace nutmegloom::testing {

/// Processes of nutmegloom-platform on addresses of the loopback network, the
/// stand-ins for databases and store, and proxies between them.
class Deployment {
public:
  /// Program: path of nutmegloom-platform. Folder: for settings and output.
  /// Network: first three numbers of the hosts' addresses.
  Deployment(boost::asio::io_context &Io, std::string Program,
             std::string Folder, const std::string &Network, std::size_t Hosts);

  static constexpr std::size_t GroupSize = 3;
  static const std::vector<std::string> &routes();

  std::size_t size() const { return Hosts_.size(); }
  std::string callerAddress(std::size_t Host) const;
  /// The host's process runs, and it was not told to stop.
  bool isUp(std::size_t Host) const { return Hosts_[Host].Up; }
  void start(std::size_t Host);
  void signal(std::size_t Host, int Signal);
  /// The process ends at once, or gracefully; it is started again later.
  void restart(std::size_t Host, bool Gracefully,
               std::chrono::milliseconds Pause);

  void crash(const std::string &Database, std::chrono::milliseconds Down);
  void putNextConfiguration();
  ObjectApi &store() { return Store_; }
  SessionDatabases &databases() { return Databases_; }
  FaultProxy &storeProxy(std::size_t Host) { return *Hosts_[Host].Store; }
  FaultProxy &databaseProxy(const std::string &Id) { return *Proxies_.at(Id); }
  void healProxies();
  /// Exit codes other than those of the signals that were sent.
  const std::vector<std::string> &unexpectedExits() const {
    return UnexpectedExits_;
  }
  void checkProcesses();

private:
  struct Host {
    std::string Name;
    std::string Address;
    std::string Zone;
    std::unique_ptr<FaultProxy> Store;
    bool Up = false;
    bool Killed = false;
  };

  void writeSettings(const Host &Entry);
  void putDatabaseEntry(const std::string &Id);
  void schedule(std::chrono::milliseconds Time, std::function<void()> Action);

  boost::asio::io_context &Io_;
  std::string Program_;
  std::string Folder_;
  SessionDatabases Databases_;
  ObjectApi Store_;
  std::map<std::string, std::unique_ptr<FaultProxy>> Proxies_;
  std::vector<Host> Hosts_;
  ProcessTable Processes_;
  std::vector<std::string> UnexpectedExits_;
  std::uint64_t Version_ = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_DEPLOYMENT_H
