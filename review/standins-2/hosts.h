#ifndef NUTMEGLOOM_REVIEW_HOSTS_H
#define NUTMEGLOOM_REVIEW_HOSTS_H

#include "databases.h"

#include <sys/types.h>

namespace review {

/// A process of the system on a machine of its own, with its entrances to the
/// platform.
class Host {
public:
  struct Settings {
    std::string Name;
    std::string Ip;
    std::string Zone;
    std::map<std::string, std::string> RegionsOfZones;
    std::string Program;
    std::string Folder;
    double Cores = 0.25;
    int LinkMbitPerSecond = 1000;
    int GraceSeconds = 6;
  };

  Host(Store &Registry, Databases &Served, Settings Given);
  ~Host();

  void start();
  void sendSignal(int Signal) const;
  /// Waits until the process has ended; false: it still runs.
  bool waitForEnd(Milliseconds Timeout);
  bool isRunning();
  /// Status of the readiness address; zero: no answer.
  int readiness() const;
  /// Resident memory of the process.
  std::size_t residentMegabytes() const;
  /// Cuts the machine off from the platform's store, silently, or heals it.
  void cutFromStore(bool Cut) { Entrance_->Cut = Cut; }
  Store::Entrance &promotions() { return *Promotions_; }

  const std::string &name() const { return Given_.Name; }
  const std::string &ip() const { return Given_.Ip; }
  std::uint16_t callerPort() const { return CallerPort_; }

private:
  Settings Given_;
  std::shared_ptr<Store::Entrance> Entrance_;
  std::shared_ptr<Store::Entrance> Promotions_;
  std::uint16_t CallerPort_ = 0;
  std::uint16_t ReadinessPort_ = 0;
  std::string SettingsFile_;
  pid_t Process_ = 0;
};

/// A client's session with a host.
class Client {
public:
  /// Opens a session; null and the answer in Refusal if it is refused.
  static std::unique_ptr<Client>
  open(const Host &Where, const std::string &Route, std::string &Refusal);

  /// Runs a statement. Returns the last line before READY, or "no answer".
  std::string run(const std::string &Text);
  /// Id of the latest statement.
  const std::string &lastId() const { return LastId_; }

private:
  std::unique_ptr<Socket> Connection_;
  std::string LastId_;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_HOSTS_H
