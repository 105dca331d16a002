#ifndef NUTMEGLOOM_REVIEW_STANDINS_DEPLOYMENT_H
#define NUTMEGLOOM_REVIEW_STANDINS_DEPLOYMENT_H

#include "client.h"
#include "databases.h"
#include "link.h"

#include <sys/types.h>

#include <memory>

namespace review {

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// A small deployment on loopback addresses: the store, the promotion interface
/// and processes of nutmegloom-platform, which are started with the command of
/// the deploy file. All processes that it started are ended with it.
class Deployment {
public:
  /// A machine with a process of nutmegloom-platform.
  struct Machine {
    std::string Name;
    std::string Zone;
    boost::asio::ip::tcp::endpoint Front;
    boost::asio::ip::tcp::endpoint Ready;
    std::string Settings;
    /// Process id; 0: none.
    pid_t Process = 0;
    /// File that receives standard output; -1: none.
    int Output = -1;
    std::unique_ptr<Link> StoreLink;
    std::unique_ptr<Link> PromotionLink;
  };
  /// A call to the promotion interface.
  struct Promotion {
    double At = 0;
    std::string Holder;
    std::uint64_t Token = 0;
    std::string Service;
    std::string Database;
    int Status = 0;
  };

  /// RecordPath: the file record.txt of the case.
  Deployment(boost::asio::io_context &Io, const std::string &RecordPath);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Record &record() { return Record_; }
  boost::asio::io_context &io() { return Io_; }
  Store &store() { return *Store_; }
  /// A loopback address that no other part of the case uses.
  std::string nextIp();

  DatabaseGroup &addGroup(DatabaseGroup::Settings Options);
  /// Writes the next configuration, with a route for each kind and service.
  void putConfiguration();
  /// Leaves a route out of the configurations that follow.
  void dropRoute(const std::string &Name) { DroppedRoutes_.insert(Name); }
  /// Starts a process that reads the output of the machines that are added
  /// later, and drops it. Returns its id.
  pid_t startLogReader();
  Machine &addMachine(const std::string &Name, const std::string &Zone);
  void startProcess(Machine &On);
  void signal(Machine &To, int Signal);
  /// True when the process has ended; it is then reaped.
  bool hasEnded(Machine &On);
  boost::asio::awaitable<void> waitUntilReady();

  /// Status with which promotion requests are refused; 0: they are carried out.
  void refusePromotions(int Status) { RefusalStatus_ = Status; }
  const std::vector<Promotion> &promotions() const { return Promotions_; }
  std::vector<std::unique_ptr<Machine>> &machines() { return Machines_; }

private:
  boost::asio::awaitable<std::optional<HttpReply>> promote(HttpRequest Request);

  boost::asio::io_context &Io_;
  std::string Temporary_;
  Record Record_;
  std::string Network_;
  int NextIp_ = 1;
  std::unique_ptr<Store> Store_;
  std::unique_ptr<HttpServer> PromotionServer_;
  std::vector<std::unique_ptr<DatabaseGroup>> Groups_;
  std::vector<DatabaseGroup::Settings> GroupSettings_;
  std::vector<std::unique_ptr<Machine>> Machines_;
  std::vector<Promotion> Promotions_;
  int RefusalStatus_ = 0;
  int Version_ = 7;
  std::set<std::string> DroppedRoutes_;
  /// Reader of the machines' output, and the pipe to it.
  pid_t LogReader_ = 0;
  int LogPipe_ = -1;
};

/// Runs a case for TimeLimit at most and returns its exit code. The disruption
/// is left out if the variable TROUBLE is 0.
using Case =
    std::function<boost::asio::awaitable<Verdict>(Deployment &, bool Trouble)>;
int runCase(int Count, char **Arguments, const Case &Body);

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_DEPLOYMENT_H
