#ifndef NUTMEGLOOM_TESTING_SOAK_FAULTS_H
#define NUTMEGLOOM_TESTING_SOAK_FAULTS_H

#include "testing/soak/deployment.h"

#include <random>

namespace nutmegloom::testing {

/// Injects faults in series that overlap, as a seed says, until it is stopped.
class Faults {
public:
  Faults(boost::asio::io_context &Io, Deployment &Target, std::uint32_t Seed);

  void start();
  /// No more faults; those that last end.
  void stop();
  /// When a fault that is no planned work last began or ended.
  std::chrono::steady_clock::time_point lastFaultAt() const {
    return LastFaultAt_;
  }

private:
  enum class Kind {
    Kill,
    Pause,
    GracefulRestart,
    StoreDown,
    StoreSlow,
    StoreSilent,
    StoreOneWay,
    StoreLosesAnswers,
    StoreForgets,
    DatabaseCrash,
    PrimaryCrash,
    DatabaseSilent,
    DatabaseReset,
    DatabaseSlow,
    Configuration,
  };
  static constexpr int KindCount = 15;
  static std::string_view nameOf(Kind Fault);

  void next();
  void inject(Kind Fault);
  void schedule(std::chrono::milliseconds Time, std::function<void()> Action);
  int randomBetween(int Least, int Greatest);
  std::string randomDatabase();

  boost::asio::io_context &Io_;
  Deployment &Deployment_;
  std::mt19937 Random_;
  boost::asio::steady_timer Timer_;
  std::chrono::steady_clock::time_point LastFaultAt_;
  bool Stopped_ = false;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_FAULTS_H
