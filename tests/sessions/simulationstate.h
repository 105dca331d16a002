#ifndef NUTMEGLOOM_TESTS_SESSIONS_SIMULATIONSTATE_H
#define NUTMEGLOOM_TESTS_SESSIONS_SIMULATIONSTATE_H

#include "tests/sessions/simulation.h"

namespace nutmegloom {

inline constexpr Milliseconds DatabaseLatency{2};
inline constexpr Milliseconds BoundedAge{1500};
inline constexpr Milliseconds ReadYourWritesAge{2500};

/// A database of the simulated group.
struct Simulation::Database {
  DatabaseListing Listing;
  std::uint64_t Term = 3;
  std::uint64_t Size = 0;
  TermHistory Terms{{3, 0}};
  std::uint64_t PausedTerm = 0;
  bool Up = true;
  std::uint64_t Incarnation = 1;
  Milliseconds Lag{8};
  std::size_t StatementsToRefuse = 0;
  bool ResetsConnections = false;

  Position position() const { return {Term, Size}; }
  /// Greatest index up to which the log holds the entries of a term.
  std::uint64_t heldIndex(std::uint64_t Wanted) const {
    if (Wanted > Term)
      return 0;
    for (const TermStart &Entry : Terms)
      if (Entry.Term > Wanted)
        return std::min(Entry.Start, Size);
    return Size;
  }
  bool holds(Position Wanted) const {
    return Wanted.Term <= Term && Wanted.Index <= heldIndex(Wanted.Term);
  }
};

/// A connection of a host to a database, with the state of its session.
struct Simulation::DatabaseConnection {
  std::size_t Host = 0;
  std::uint64_t HostIncarnation = 0;
  ConnectionId Id = 0;
  DatabaseId Database;
  std::uint64_t DatabaseIncarnation = 0;
  bool Open = true;
  TransactionStatus State = TransactionStatus::Idle;
  bool ReadOnly = false;
  std::uint64_t BegunTerm = 0;
  std::size_t Writes = 0;
  CallerSessionId Session = 0;
  SessionVariables Variables;
  std::map<std::string, PreparedShape> Prepared;
  /// Names of all statements that were ever prepared on the connection.
  std::set<std::string> NamesUsed;
  TimePoint BusyUntil;
};

/// A simulated host process.
struct Simulation::Host {
  HostName Name;
  std::uint64_t Incarnation = 0;
  TimePoint PausedUntil;
  std::unique_ptr<SessionEngine> Engine;
  std::map<ConnectionId, std::shared_ptr<DatabaseConnection>> Connections;
  /// Era of the store that the host has seen.
  std::uint64_t StoreEra = 0;
  bool Registered = false;
  /// The store has listed the host.
  bool Listed = false;
  bool Reading = false;
  TimePoint ReadAt;
  TimePoint GossipAt;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SESSIONS_SIMULATIONSTATE_H
