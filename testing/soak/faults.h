#ifndef NUTMEGLOOM_TESTING_SOAK_FAULTS_H
#define NUTMEGLOOM_TESTING_SOAK_FAULTS_H

#include "testing/soak/deployment.h"

#include <random>

namespace nutmegloom::testing {

/// Injects random faults, which may overlap, until it is stopped. The seed
/// determines kinds, targets and times.
class Faults {
public:
  Faults(boost::asio::io_context &Io, Deployment &Target, std::uint32_t Seed);

  void start();
  /// Injects no more faults and ends the current ones. Crashed databases and
  /// restarting hosts still return at their planned times, and silent
  /// connections stay silent.
  void stop();
  /// Time at which a fault last began or ended. The start of a graceful restart
  /// or of a configuration change doesn't count.
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

  /// Changes in the list of databases. They come as a series of their own with
  /// its own random numbers, so that the other faults of a seed stay the same.
  enum class ListChange { DatabaseReplaced, OddEntry };
  static constexpr int ListChangeCount = 2;

  /// The store comes back from a copy, alone or together with a restart of all
  /// processes. A series of its own, as the changes in the list of databases.
  void nextRestore();
  void restore();

  void next();
  void inject(Kind Fault);
  void nextListChange();
  void change(ListChange Change);
  void schedule(std::chrono::milliseconds Time, std::function<void()> Action);
  int randomBetween(int Least, int Greatest);
  int listRandomBetween(int Least, int Greatest);
  int restoreRandomBetween(int Least, int Greatest);
  std::string randomDatabase();

  boost::asio::io_context &Io_;
  Deployment &Deployment_;
  std::mt19937 Random_;
  std::mt19937 ListRandom_;
  std::mt19937 RestoreRandom_;
  boost::asio::steady_timer Timer_;
  boost::asio::steady_timer ListTimer_;
  boost::asio::steady_timer RestoreTimer_;
  std::chrono::steady_clock::time_point LastFaultAt_;
  bool Stopped_ = false;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_FAULTS_H
