#ifndef NUTMEGLOOM_TESTS_SESSIONS_SIMULATION_H
#define NUTMEGLOOM_TESTS_SESSIONS_SIMULATION_H

#include "sessions/sessionengine.h"

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace nutmegloom {

/// Hosts, databases of one group, the store and the promotion call in one
/// process, on a clock of its own. Faults are set on links and parts; what
/// callers were told is checked against what the databases did.
class Simulation {
public:
  /// Members: hosts that hold connections to databases; the first ones.
  explicit Simulation(std::uint32_t Seed, std::size_t Hosts = 3,
                      std::size_t Members = SIZE_MAX);
  ~Simulation();

  TimePoint now() const { return Now_; }
  /// Moves the clock and delivers what happens in that time.
  void run(Milliseconds Span);
  /// Calls the function at a time from now.
  void after(Milliseconds Delay, std::function<void()> Call);

  // Faults.
  void cutHostFromDatabase(std::size_t Host, const DatabaseId &Id, bool Cut);
  void cutHostFromStore(std::size_t Host, bool Cut);
  void cutHosts(std::size_t A, std::size_t B, bool Cut);
  void cutReplication(const DatabaseId &A, const DatabaseId &B, bool Cut);
  void setStoreDown(bool Down) { StoreDown_ = Down; }
  void setStoreDelay(Milliseconds Delay) { StoreDelay_ = Delay; }
  /// Share of writes to the store that are done and not answered.
  void setLostWriteRatio(double Share) { LostWriteRatio_ = Share; }
  /// The host does nothing until then; what reaches it waits.
  void pauseHost(std::size_t Host, Milliseconds Span);
  /// The host's process ends and starts again.
  void restartHost(std::size_t Host);
  void crashDatabase(const DatabaseId &Id, Milliseconds Down);
  void setDraining(const DatabaseId &Id);
  /// The database refuses this many of the next statements of callers as busy;
  /// an open transaction stays open.
  void refuseNextStatements(const DatabaseId &Id, std::size_t Count);
  /// The database resets connections that are opened.
  void setResetsConnections(const DatabaseId &Id, bool ResetsConnections);
  void setReplicationLag(const DatabaseId &Id, Milliseconds Lag);

  // Callers.
  /// Opens a session at a host; the name is that of a route.
  CallerSessionId open(std::size_t Host, const std::string &Route);
  void send(std::size_t Host, CallerSessionId Session, StatementVerb Verb,
            const std::string &Text = "x");
  std::optional<StatementAnswer> answerOf(CallerSessionId Session) const;
  /// Sends a statement and runs until it is answered.
  StatementAnswer ask(std::size_t Host, CallerSessionId Session,
                      StatementVerb Verb, const std::string &Text = "x");
  /// Starts sessions that send statements one after the other for the span.
  void startCallers(std::size_t PerHost, Milliseconds Span);

  // What was seen.
  std::size_t acknowledgedWrites() const { return Writes_; }
  std::size_t answeredReads() const { return Reads_; }
  std::size_t promotions() const { return Promotions_; }
  /// Broken promises, one line each; empty when all were kept.
  std::vector<std::string> violations() const;
  /// What happened, one line each, with the time since the start.
  const std::vector<std::string> &trace() const { return Trace_; }
  void recordEvent(const std::string &Line);
  DatabaseId leader() const;
  SessionEngine &engine(std::size_t Host);
  /// Statements that a database ran, with their session values.
  struct Execution {
    DatabaseId Database;
    std::string Text;
    SessionVariables Variables;
    bool InTransaction = false;
  };
  const std::vector<Execution> &executions() const { return Executions_; }
  std::size_t connectionsOf(const DatabaseId &Id) const;

private:
  struct Database;
  struct DatabaseConnection;
  struct Host;
  /// Commits of one term that a read had to see and that its log lacked:
  /// those with an index above Held and up to Needed.
  struct MissingCommits {
    DatabaseId Database;
    std::uint64_t Term = 0;
    std::uint64_t Held = 0;
    std::uint64_t Needed = 0;
  };
  /// A commit that was acknowledged. Greatest is the greatest index of its term
  /// that had been acknowledged by then.
  struct Ack {
    TimePoint At;
    std::uint64_t Index = 0;
    std::uint64_t MaxIndex = 0;
  };
  struct PendingStatement {
    std::string StatementId;
    TimePoint SentAt;
    StatementVerb Verb = StatementVerb::Read;
    std::string Text;
    std::string Route;
    /// Position of the commit that it made.
    std::optional<Position> Commit;
    /// The commit was made after another database had been promoted.
    bool AfterPromotion = false;
    bool HasRead = false;
    std::vector<MissingCommits> Missing;
    DatabaseId Database;
  };

  void startHost(std::size_t Index);
  SessionEngine::Hooks hooksOf(std::size_t Index);
  void tickHost(std::size_t Index, std::uint64_t Incarnation);
  void gossip(std::size_t Index);
  bool isMember(std::size_t Index) const { return Index < Members_; }
  /// Sends a message of a relay connection, which is lost with a cut or an end
  /// of either process.
  void relayTo(std::size_t From, const HostName &Host,
               const RelayMessage &Message);
  void answerRelay(std::size_t From, RelayLinkId Link,
                   const RelayMessage &Message);
  void closeRelays(std::size_t Index);
  std::size_t indexOf(const HostName &Name) const;
  static RelayLinkId linkOf(std::size_t From, std::uint64_t Incarnation) {
    return Incarnation * 100 + From;
  }
  void readRecords(std::size_t Index);
  /// Runs the call at the host, once it is not paused, if it still lives.
  void atHost(std::size_t Index, Milliseconds Delay,
              std::function<void()> Call);
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
  void queryDatabase(std::size_t Index, const DatabaseListing &Listing,
                     const DatabaseCommand &Command);
  void promote(std::size_t Index, const GroupId &Group, const DatabaseId &Id,
               std::uint64_t Token);
  /// What the database's log lacks of the commits acknowledged before the
  /// given moment, and of the session's own.
  std::vector<MissingCommits>
  missingFrom(const Database &At, TimePoint Before,
              const std::optional<Position> &Own) const;
  void replicate(const DatabaseId &From);
  void demoteLater(const DatabaseId &Old, const DatabaseId &Next);
  void recordAnswer(CallerSessionId Session, const StatementAnswer &Answer);
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
  DatabaseId Leader_;
  std::uint64_t Term_ = 3;

  // The store.
  std::map<GroupId, LeadershipRecord> Records_;
  PromotionLease Duty_;
  std::uint64_t Revision_ = 10;
  std::uint64_t ListRevision_ = 1;
  std::uint64_t HighestToken_ = 0;
  std::map<std::uint64_t, HostName> TokenHolders_;
  std::map<HostName, ListedHost> Registered_;
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
  /// Acknowledged commits by term, in the order of time.
  std::map<std::uint64_t, std::vector<Ack>> Acknowledged_;
  /// Latest acknowledged commit of each session.
  std::map<CallerSessionId, Position> OwnWrites_;
  std::vector<MissingCommits> Missing_;
  /// Greatest index of each term that every promotion since has kept.
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
