#ifndef NUTMEGLOOM_TESTS_SESSIONS_SIMULATION_H
#define NUTMEGLOOM_TESTS_SESSIONS_SIMULATION_H

#include "sessions/sessionengine.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace nutmegloom {

/// Simulates hosts, the databases of one group, the store and the platform's
/// promotion call in one process, with a simulated clock. Faults are injected
/// on links and components. The answers to callers are checked against what the
/// databases executed.
class Simulation {
public:
  /// Members: number of hosts, counted from the first, that hold connections to
  /// databases.
  explicit Simulation(std::uint32_t Seed, std::size_t Hosts = 3,
                      std::size_t Members = SIZE_MAX);
  ~Simulation();

  TimePoint now() const { return Now_; }
  /// Advances the clock by Span and runs the events that fall due.
  void run(Milliseconds Span);
  /// Schedules a call after Delay.
  void after(Milliseconds Delay, std::function<void()> Call);

  // Faults.
  void cutHostFromDatabase(std::size_t Host, const DatabaseId &Id, bool Cut);
  void cutHostFromStore(std::size_t Host, bool Cut);
  void cutHosts(std::size_t A, std::size_t B, bool Cut);
  void cutReplication(const DatabaseId &A, const DatabaseId &B, bool Cut);
  void setStoreDown(bool Down) { StoreDown_ = Down; }
  void setStoreDelay(Milliseconds Delay) { StoreDelay_ = Delay; }
  /// Fraction of store writes whose answer is lost. Such a write takes effect
  /// up to 3 s late, if its condition still holds then.
  void setLostWriteRatio(double Ratio) { LostWriteRatio_ = Ratio; }
  /// Lets the store report eras, from now on the first one.
  void reportEras() { StoreEra_ = 1; }
  /// Keeps a copy of what the hosts have written to the store.
  void copyStore();
  /// Returns the store to the copy, in the next era. Revisions since the copy
  /// are given out again.
  void restoreStore();
  /// Pauses a host for Span. Its messages are delivered afterwards.
  void pauseHost(std::size_t Host, Milliseconds Span);
  /// Restarts a host's process, which loses its sessions and connections.
  void restartHost(std::size_t Host);
  /// Stops a database, which breaks its connections, and starts it after Down.
  /// If another one has been promoted meanwhile, it starts as a replica.
  void crashDatabase(const DatabaseId &Id, Milliseconds Down);
  void setDraining(const DatabaseId &Id);
  /// The database answers the next Count statements of callers with Busy. An
  /// open transaction stays open.
  void refuseNextStatements(const DatabaseId &Id, std::size_t Count);
  /// The database forgets the prepared statements of all connections.
  void forgetPreparedStatements(const DatabaseId &Id);
  /// The database resets new connections, as one at its connection limit does.
  void setResetsConnections(const DatabaseId &Id, bool ResetsConnections);
  void setReplicationLag(const DatabaseId &Id, Milliseconds Lag);

  // Callers.
  /// Opens a session at a host for the route "primary", "bounded" or "own".
  CallerSessionId open(std::size_t Host, const std::string &Route);
  /// Prepares the session's one prepared statement, which Execute runs.
  StatementAnswer prepare(std::size_t Host, CallerSessionId Session,
                          const PreparedShape &Prepared);
  /// Sends a statement without waiting for its answer. Prepare: the text is
  /// prepared as a read.
  void send(std::size_t Host, CallerSessionId Session, StatementVerb Verb,
            const std::string &Text = "x",
            StatementKind Access = StatementKind::Read);
  /// Answer to the latest statement of the session; nothing before it arrives.
  std::optional<StatementAnswer> answerOf(CallerSessionId Session) const;
  /// True when the host has closed the session.
  bool isClosed(CallerSessionId Session) const {
    return Closed_.contains(Session);
  }
  /// Sends a statement and runs until it is answered. Throws
  /// std::bad_optional_access if that takes more than five seconds.
  StatementAnswer ask(std::size_t Host, CallerSessionId Session,
                      StatementVerb Verb, const std::string &Text = "x");
  /// Opens PerHost sessions for each host and route. They send statements one
  /// after another for Span.
  void startCallers(std::size_t PerHost, Milliseconds Span);

  // Results.
  std::size_t acknowledgedWrites() const { return Writes_; }
  std::size_t answeredReads() const { return Reads_; }
  std::size_t promotions() const { return Promotions_; }
  /// Violated guarantees, one line each.
  std::vector<std::string> violations() const;
  /// Recorded events, one line each, after the milliseconds since the start.
  const std::vector<std::string> &trace() const { return Trace_; }
  void recordEvent(const std::string &Line);
  /// Database that the platform treats as the primary.
  DatabaseId leader() const;
  SessionEngine &engine(std::size_t Host);
  /// A caller's statement that reached a database, with the session values of
  /// the connection.
  struct Execution {
    DatabaseId Database;
    std::string Text;
    SessionVariables Variables;
    bool InTransaction = false;
    /// Name of the prepared statement at the database, and what stood under it.
    std::string Name;
    std::optional<PreparedShape> Prepared;
  };
  const std::vector<Execution> &executions() const { return Executions_; }
  std::size_t connectionsOf(const DatabaseId &Id) const;

private:
  struct Database;
  struct DatabaseConnection;
  struct Host;
  /// Commits of one term that a read should have seen and that the database's
  /// log lacked: those with an index above Held and up to Needed.
  struct MissingCommits {
    DatabaseId Database;
    std::uint64_t Term = 0;
    std::uint64_t Held = 0;
    std::uint64_t Needed = 0;
  };
  /// An acknowledged commit. MaxIndex is the greatest index of its term that
  /// was acknowledged by then.
  struct Ack {
    TimePoint At;
    std::uint64_t Index = 0;
    std::uint64_t MaxIndex = 0;
  };
  /// A statement without an answer.
  struct PendingStatement {
    std::string StatementId;
    TimePoint SentAt;
    StatementVerb Verb = StatementVerb::Read;
    std::string Text;
    std::string Route;
    /// Position of the commit that the statement made.
    std::optional<Position> Commit;
    /// The commit was made after another database had been promoted.
    bool AfterPromotion = false;
    /// The statement read data outside a transaction.
    bool HasRead = false;
    std::vector<MissingCommits> Missing;
    DatabaseId Database;
  };

  void startHost(std::size_t Index);
  SessionEngine::Hooks hooksOf(std::size_t Index);
  void tickHost(std::size_t Index, std::uint64_t Incarnation);
  /// Sends the host's observation to the hosts that it knows.
  void gossip(std::size_t Index);
  bool isMember(std::size_t Index) const { return Index < Members_; }
  /// Sends a message on the relay connection to another host. It is lost if the
  /// hosts are cut off from each other or the receiver restarts.
  void relayTo(std::size_t From, const HostName &Host,
               const RelayMessage &Message);
  /// Sends a message back on a relay connection. It is lost as by relayTo, and
  /// if the process that opened the connection has ended.
  void answerRelay(std::size_t From, IncomingRelayId Link,
                   const RelayMessage &Message);
  void closeRelays(std::size_t Index);
  std::size_t indexOf(const HostName &Name) const;
  /// Id of the relay connections that a process of a host opens.
  static IncomingRelayId linkOf(std::size_t From, std::uint64_t Incarnation) {
    return Incarnation * 100 + From;
  }
  void readRecords(std::size_t Index);
  void readDatabases(std::size_t Index);
  /// Schedules a call for the host after Delay, or when its pause ends. The
  /// call is dropped if the host restarts before.
  void atHost(std::size_t Index, Milliseconds Delay,
              std::function<void()> Call);
  /// Handles the store's era in an answer, as ObjectStore does. Returns false
  /// if the answer counts as lost.
  bool followEra(std::size_t Index, std::uint64_t Answered, bool IsWrite,
                 std::uint64_t SentInEra);
  /// True if the host may send a write on the condition that a revision is
  /// still in force.
  bool maySendCondition(std::size_t Index, StoreRevision Expected) const;
  /// Calls the store for a host. Execute runs at the store and returns the call
  /// that delivers the answer. OnFailure is called at the host if it cannot
  /// reach the store or the answer of a write is lost.
  void storeCall(std::size_t Index, bool IsWrite,
                 std::function<std::function<void()>()> Execute,
                 std::function<void()> OnFailure);

  void openConnection(std::size_t Index, ConnectionId Id,
                      const DatabaseListing &Listing);
  void sendCommand(std::size_t Index, ConnectionId Id,
                   const DatabaseCommand &Command);
  void execute(const std::shared_ptr<DatabaseConnection> &On,
               const DatabaseCommand &Command);
  StatementAnswer run(DatabaseConnection &On, const DatabaseCommand &Command);
  /// Sends a status, pause or resume command to a database. The host receives
  /// its report, or nothing after 700 ms if it does not answer or refuses a
  /// pause.
  void queryDatabase(std::size_t Index, const DatabaseListing &Listing,
                     const DatabaseCommand &Command);
  /// Serves the promotion call of a host and checks its fencing token.
  void promote(std::size_t Index, const GroupId &Group, const DatabaseId &Id,
               std::uint64_t Token);
  /// Commits that the database's log lacks: of those acknowledged before the
  /// given time and of the session's own.
  std::vector<MissingCommits>
  missingFrom(const Database &At, TimePoint Before,
              const std::optional<Position> &Own) const;
  void replicate(const DatabaseId &From);
  void demoteLater(const DatabaseId &Old, const DatabaseId &Next);
  /// Records an answer to a caller and checks it against the commit and the
  /// read that the statement made.
  void recordAnswer(CallerSessionId Session, const StatementAnswer &Answer);
  /// Sends the next statement of a session of startCallers, unless one is
  /// pending, and schedules the following one.
  void nextStatement(std::size_t Index, CallerSessionId Session,
                     const std::string &Route, TimePoint Until);
  Database &database(const DatabaseId &Id);
  std::vector<DatabaseListing> listings() const;
  bool isCut(std::size_t Host, const DatabaseId &Id) const;

  TimePoint Now_{std::chrono::hours(1)};
  std::mt19937 Random_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::map<DatabaseId, std::unique_ptr<Database>> Databases_;
  /// Database that the platform treats as the primary.
  DatabaseId Leader_;
  std::uint64_t Term_ = 3;

  /// What the hosts have written to the store.
  struct StoreContent {
    std::map<GroupId, LeadershipRecord> Records;
    PromotionLease Lease;
    std::uint64_t Revision = 10;
    std::map<HostName, ListedHost> Registered;
  };
  StoreContent Store_;
  StoreContent StoreCopy_;
  std::uint64_t StoreEra_ = 0;
  std::uint64_t ListRevision_ = 1;
  std::uint64_t HighestToken_ = 0;
  /// Host that used each fencing token.
  std::map<std::uint64_t, HostName> TokenHolders_;
  std::size_t Members_;
  bool StoreDown_ = false;
  Milliseconds StoreDelay_{4};
  double LostWriteRatio_ = 0;

  std::set<std::pair<std::size_t, DatabaseId>> DatabaseCuts_;
  std::set<std::size_t> StoreCuts_;
  std::set<std::pair<std::size_t, std::size_t>> HostCuts_;
  std::set<std::pair<DatabaseId, DatabaseId>> ReplicationCuts_;

  CallerSessionId LastSession_ = 0;
  std::uint64_t LastStatement_ = 0;
  std::map<CallerSessionId, PendingStatement> Pending_;
  std::map<CallerSessionId, StatementAnswer> Answers_;
  std::map<CallerSessionId, std::string> Routes_;
  /// Sessions that their host has closed.
  std::set<CallerSessionId> Closed_;
  /// Acknowledged commits by term, oldest first.
  std::map<std::uint64_t, std::vector<Ack>> Acknowledged_;
  /// Latest acknowledged commit of each session.
  std::map<CallerSessionId, Position> OwnWrites_;
  /// Commits that answered reads did not see.
  std::vector<MissingCommits> Missing_;
  /// Greatest index of each term that has survived all promotions.
  std::map<std::uint64_t, std::uint64_t> SurvivingIndex_;
  std::size_t Writes_ = 0;
  std::size_t Reads_ = 0;
  std::vector<std::string> Violations_;
  std::vector<std::string> Trace_;
  std::vector<Execution> Executions_;
  std::size_t Promotions_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SESSIONS_SIMULATION_H
