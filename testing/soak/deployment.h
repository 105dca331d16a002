#ifndef NUTMEGLOOM_TESTING_SOAK_DEPLOYMENT_H
#define NUTMEGLOOM_TESTING_SOAK_DEPLOYMENT_H

#include "testing/soak/faultproxy.h"
#include "testing/standinsessions/objectapi.h"
#include "testing/standinsessions/sessiondatabases.h"
#include "testing/support/processtable.h"

#include <boost/asio/steady_timer.hpp>

namespace nutmegloom::testing {

/// Processes of nutmegloom-platform on loopback addresses, the simulated
/// databases and object store, and the fault proxies in between.
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
  /// True unless the host is being restarted.
  bool isUp(std::size_t Host) const { return Hosts_[Host].Up; }
  void start(std::size_t Host);
  /// Sends a signal if the host's process is running.
  void signal(std::size_t Host, int Signal);
  /// Ends the process with SIGTERM or SIGKILL. Starts it again after Pause, or
  /// later if it has not ended by then.
  void restart(std::size_t Host, bool Gracefully,
               std::chrono::milliseconds Pause);

  /// Crashes a database that is up and restarts it after Down.
  void crash(const std::string &Database, std::chrono::milliseconds Down);
  /// Lists a database as draining, removes it from the list after half of the
  /// time, and lists it again as a database that has just started at the end.
  /// Does nothing while another database is being replaced.
  void replaceDatabase(const std::string &Database,
                       std::chrono::milliseconds Duration);
  /// Another program writes an entry among those of the databases, with any
  /// text as its content, and removes it after Duration.
  void putOddEntry(std::string Content, std::chrono::milliseconds Duration);
  /// Stores the next version of the configuration.
  void putNextConfiguration();
  /// Returns the store to its copy. The operator and the databases write their
  /// objects again shortly after.
  void restoreStore();
  ObjectApi &store() { return Store_; }
  SessionDatabases &databases() { return Databases_; }
  FaultProxy &storeProxy(std::size_t Host) { return *Hosts_[Host].Store; }
  FaultProxy &databaseProxy(const std::string &Id) { return *Proxies_.at(Id); }
  /// Ends delays and cuts of all proxies.
  void healProxies();
  /// Descriptions of processes that ended without being asked to.
  const std::vector<std::string> &unexpectedExits() const {
    return UnexpectedExits_;
  }
  /// Records and restarts processes that have ended unexpectedly.
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
  void putDatabaseEntry(const std::string &Id, const char *State);
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
  /// Latest version of the configuration.
  nlohmann::json Configuration_;
  /// Database that is being replaced; empty if there is none.
  std::string Replaced_;
  /// Start of each database that was replaced, for its entry.
  std::map<std::string, std::int64_t> Starts_;
  std::size_t OddEntries_ = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_DEPLOYMENT_H
