#include "sessions/statementrunner.h"

#include "sessions/waitestimate.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

namespace {

/// Number of times that a statement is sent before the database's refusal is
/// returned to the caller.
constexpr std::uint32_t MaximumAttempts = 6;
/// A statement that has waited for longer than this may use connections above
/// the host's share.
constexpr Milliseconds UrgentWait{10};
/// A connection without a session is closed if its answers take longer.
constexpr Milliseconds DetachedAnswerTimeout{2000};
/// For this long after an answer of the database, a reset connection is taken
/// as a sign that its connection cap is reached.
constexpr Milliseconds ResetAsFullPeriod{1500};
/// Number of queued statements of a group that are examined when a connection
/// becomes free.
constexpr std::size_t MaximumScan = 32;
/// A statement is queued only if it is expected to be answered before this
/// fraction of its time is left, since service times vary.
constexpr int QueueMargin = 4;
/// Cost of opening a connection for an account in place of using one that it
/// has: a slot of the database is occupied meanwhile.
constexpr double OpeningCostMilliseconds = 20;

bool hasNotRun(StatementCode Code) {
  switch (Code) {
  case StatementCode::Busy:
  case StatementCode::Behind:
  case StatementCode::ReadOnly:
  case StatementCode::WrongDatabase:
  case StatementCode::Overloaded:
    return true;
  default:
    return false;
  }
}

bool occupiesSlot(CommandVerb Verb) {
  return Verb == CommandVerb::Forward || Verb == CommandVerb::Begin ||
         Verb == CommandVerb::BeginRead;
}

StatementAnswer errorAnswer(StatementCode Code, std::string Detail) {
  StatementAnswer Answer;
  Answer.Code = Code;
  Answer.Detail = std::move(Detail);
  return Answer;
}

} // namespace

StatementRunner::StatementRunner(DatabaseTable &Table,
                                 LeaderAuthority &Authority,
                                 DatabasePool::Hooks PoolHooks, Hooks Callbacks)
    : Table_(Table), Authority_(Authority), Pool_(Table, std::move(PoolHooks)),
      Placement_(Table, Authority), Hooks_(std::move(Callbacks)) {}

void StatementRunner::submit(StatementWork Work, TimePoint Now) {
  CallerSessionId Session = Work.Session;
  Progress &Task = Statements_[Session];
  Task = Progress{};
  Task.Work = std::move(Work);
  if (Task.Work.Pinned) {
    Task.Connection = *Task.Work.Pinned;
    Task.Database = Pool_.databaseOf(Task.Connection).value_or("");
    forward(Task, Now);
    return;
  }
  if (tryStart(Task, Now))
    return;
  enqueue(Task, Now);
}

/// The margin makes it unlikely that a statement waits in the queue and is
/// refused at last. A caller that is refused at once can come back in time.
void StatementRunner::enqueue(Progress &Task, TimePoint Now) {
  const StatementWork &Work = Task.Work;
  std::size_t Ahead =
      Queue_.countAhead(Work.Group, Work.Priority, Work.ReceivedAt);
  TimePoint AnswerBy = Work.Deadline - (Work.Deadline - Now) / QueueMargin;
  if (std::optional<Milliseconds> Start =
          waitBeyond(AnswerBy, Task, Ahead, Now)) {
    refuse(Task, *Start, Now);
    return;
  }
  Queue_.add(Work.Group, Work.Session, Work.Priority, Work.ReceivedAt);
}

/// Only the databases that may run the statement now count: idle connections
/// to replicas that lag behind don't shorten the wait for the primary.
std::optional<Milliseconds> StatementRunner::waitBeyond(TimePoint AnswerBy,
                                                        const Progress &Task,
                                                        std::size_t Ahead,
                                                        TimePoint Now) const {
  const StatementWork &Work = Task.Work;
  std::vector<PlacementCandidate> Candidates =
      candidatesFor(Work, Task.Avoided, Now);
  if (Candidates.empty()) {
    std::optional<Milliseconds> Leader =
        Hooks_.LeaderExpectedIn(Work.Group, Now);
    return Leader && Now + *Leader > Work.Deadline ? Leader : std::nullopt;
  }
  std::vector<DatabaseCapacity> Capacities;
  Capacities.reserve(Candidates.size());
  for (const PlacementCandidate &Candidate : Candidates)
    Capacities.push_back(
        {Pool_.countOf(Candidate.Database),
         Table_.find(Candidate.Database)->ServiceMilliseconds});
  std::optional<WaitEstimate> Wait = estimateWait(Ahead, Capacities);
  if (!Wait || Now + Wait->Answer <= AnswerBy)
    return std::nullopt;
  return Wait->Start;
}

void StatementRunner::refuse(Progress &Task, Milliseconds RetryAfter,
                             TimePoint Now) {
  StatementResult Result;
  Result.Answer = errorAnswer(StatementCode::Busy, "not run");
  Result.RetryAfter = RetryAfter;
  Result.Attempts = Task.Attempts;
  finish(Task.Work.Session, std::move(Result), Now);
}

void StatementRunner::cancel(CallerSessionId Session,
                             std::optional<ConnectionId> Pinned,
                             TimePoint Now) {
  Queue_.remove(Session);
  auto Found = Statements_.find(Session);
  if (Found == Statements_.end()) {
    if (Pinned)
      rollBack(*Pinned, Now);
    return;
  }
  ConnectionId Connection = Found->second.Connection;
  Statements_.erase(Found);
  // The connection is released when the statement in progress is answered. A
  // commit in the stage Confirming has already released it.
  auto Used = Connections_.find(Connection);
  if (Used == Connections_.end())
    return;
  Used->second.Session = 0;
  if (Used->second.InTransaction)
    rollBack(Connection, Now);
}

void StatementRunner::rollBack(ConnectionId Connection, TimePoint Now) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return;
  Found->second.Session = 0;
  Found->second.InTransaction = false;
  DatabaseCommand Rollback;
  Rollback.Verb = CommandVerb::Rollback;
  send(Connection, Rollback, Now);
}

void StatementRunner::send(ConnectionId Connection,
                           const DatabaseCommand &Command, TimePoint Now) {
  Connections_[Connection].PendingAnswers.push_back({Command.Verb, Now});
  if (occupiesSlot(Command.Verb))
    Table_.onSent(Pool_.databaseOf(Connection).value_or(""));
  Hooks_.Send(Connection, Command);
}

/// A statement's name contains nothing of its text, which may hold blanks, and
/// a name ends at a blank. No name is given twice, so that none stands for two
/// statements if a database refuses a RESET.
void StatementRunner::prepareConnection(ConnectionId Connection,
                                        const StatementWork &Work,
                                        TimePoint Now) {
  ConnectionProfile &Profile = Pool_.profileOf(Connection);
  const PreparedShape *Prepared = Work.Prepared ? &*Work.Prepared : nullptr;
  std::string NewName =
      Prepared ? "p" + std::to_string(PreparationCount_ + 1) : "";
  for (const DatabaseCommand &Command :
       commandsToMatch(Profile, Work.Variables, Prepared, NewName)) {
    applyCommand(Profile, Command);
    if (Command.Verb == CommandVerb::Prepare) {
      ++PreparationCount_;
      reportPreparation(Connection, Work.Command.Id, Command, Now);
    }
    ConnectionState &Used = Connections_[Connection];
    Used.VariableSetInTransaction |=
        Used.InTransaction && Command.Verb == CommandVerb::SetVariable;
    send(Connection, Command, Now);
  }
}

void StatementRunner::reportPreparation(ConnectionId Connection,
                                        const std::string &StatementId,
                                        const DatabaseCommand &Prepare,
                                        TimePoint Now) const {
  if (!Hooks_.StatementPrepared)
    return;
  StatementPreparation Report;
  Report.StatementId = StatementId;
  Report.Database = Pool_.databaseOf(Connection).value_or("");
  Report.Connection = Connection;
  Report.Name = Prepare.Name;
  Report.Access = Prepare.Access;
  Report.Shape = Prepare.Text;
  Hooks_.StatementPrepared(Report, Now);
}

std::vector<PlacementCandidate>
StatementRunner::candidatesFor(const StatementWork &Work,
                               const std::set<DatabaseId> &Avoided,
                               TimePoint Now) const {
  PlacementConstraints Constraints;
  Constraints.Group = Work.Group;
  Constraints.Leader = Work.NeedsLeader;
  Constraints.MaximumAge = Work.MaximumAge;
  Constraints.LastWrite = Work.LastWrite;
  return Placement_.candidatesFor(Constraints, Avoided, Now);
}

bool StatementRunner::hasCandidateFor(const StatementWork &Work,
                                      TimePoint Now) const {
  return !candidatesFor(Work, {}, Now).empty();
}

std::vector<StatementWork> StatementRunner::takeStatementsWithoutCandidate(
    const GroupId &Group, const std::function<bool(CallerSessionId)> &IsChosen,
    TimePoint Now) {
  std::vector<StatementWork> Withdrawn;
  for (CallerSessionId Session : Queue_.waitingFor(Group)) {
    auto Task = Statements_.find(Session);
    if (Task == Statements_.end() || !IsChosen(Session) ||
        hasCandidateFor(Task->second.Work, Now))
      continue;
    Withdrawn.push_back(std::move(Task->second.Work));
    Statements_.erase(Task);
    Queue_.remove(Session);
  }
  return Withdrawn;
}

bool StatementRunner::areConnectionsOpening(
    const Progress &Task, const std::vector<PlacementCandidate> &Candidates,
    TimePoint Now) const {
  const AccountName &Account = Task.Work.Account;
  if (Account.empty())
    return false;
  std::size_t Opening = 0;
  for (const PlacementCandidate &Candidate : Candidates)
    Opening += Pool_.openingFor(Candidate.Database, Account, Now);
  if (Opening == 0)
    return false;
  std::size_t Waiting = 0;
  bool Queued = false;
  for (CallerSessionId Session : Queue_.waitingFor(Task.Work.Group)) {
    auto Other = Statements_.find(Session);
    if (Other == Statements_.end() || Other->second.Work.Account != Account)
      continue;
    ++Waiting;
    Queued |= Session == Task.Work.Session;
  }
  return Opening >= Waiting + (Queued ? 0 : 1);
}

bool StatementRunner::tryStart(Progress &Task, TimePoint Now) {
  const PlacementCandidate *Best = nullptr;
  const PlacementCandidate *ToOpen = nullptr;
  const AccountName &Account = Task.Work.Account;
  std::vector<PlacementCandidate> Candidates =
      candidatesFor(Task.Work, Task.Avoided, Now);
  bool MayOpen = !areConnectionsOpening(Task, Candidates, Now);
  for (const PlacementCandidate &Candidate : Candidates) {
    bool Idle = Pool_.hasIdle(Candidate.Database, Account);
    const PlacementCandidate *&Slot = Idle ? Best : ToOpen;
    if (!Idle) {
      bool Urgent = Now - Task.Work.ReceivedAt > UrgentWait;
      if (!MayOpen || !Pool_.mayOpen(Candidate.Database, Account, Urgent, Now))
        continue;
    }
    if (!Slot || Placement_.costOf(Candidate) < Placement_.costOf(*Slot))
      Slot = &Candidate;
  }
  double OpeningCost = Account.empty() ? 0 : OpeningCostMilliseconds;
  if (ToOpen && (!Best || Placement_.costOf(*ToOpen) + OpeningCost <
                              Placement_.costOf(*Best)))
    Pool_.open(ToOpen->Database, Account, Now);
  if (!Best)
    return false;
  std::optional<ConnectionId> Connection =
      Pool_.take(Best->Database, Account, Task.Work.Variables);
  if (!Connection)
    return false;
  startOn(Task, *Connection, *Best, Now);
  return true;
}

void StatementRunner::startOn(Progress &Task, ConnectionId Connection,
                              const PlacementCandidate &Where, TimePoint Now) {
  Task.Connection = Connection;
  Task.Database = Where.Database;
  Task.MinimumPosition = Where.MinimumPosition;
  Connections_[Connection].Session = Task.Work.Session;
  if (!Task.Work.Opens) {
    forward(Task, Now);
    return;
  }
  Task.CurrentStage = Stage::Beginning;
  Task.SentAt = Now;
  prepareConnection(Connection, Task.Work, Now);
  DatabaseCommand Begin;
  Begin.Verb = *Task.Work.Opens;
  Begin.MinimumPosition = Task.MinimumPosition;
  send(Connection, Begin, Now);
}

void StatementRunner::forward(Progress &Task, TimePoint Now) {
  ConnectionId Connection = Task.Connection;
  if (!Connections_.contains(Connection)) {
    fail(Task, StatementCode::Aborted, "the transaction's connection is lost",
         Now);
    return;
  }
  if (Task.Work.Pinned && Task.Work.Writes &&
      !Authority_.mayAcknowledge(Task.Work.Group, Task.Database, Now)) {
    rollBack(Connection, Now);
    fail(Task, StatementCode::Aborted, "the primary was replaced", Now);
    return;
  }
  Task.CurrentStage = Stage::Running;
  Task.SentAt = Now;
  ++Task.Attempts;
  if (const LeadershipRecord *Record = Authority_.recordOf(Task.Work.Group))
    Task.LeadershipRevision = Record->Revision;
  prepareConnection(Connection, Task.Work, Now);
  DatabaseCommand Command = Task.Work.Command;
  if (Task.Work.Prepared)
    Command.Name = Pool_.profileOf(Connection).Prepared.at(*Task.Work.Prepared);
  bool Alone = !Task.Work.Pinned && !Task.Work.Opens;
  if (Alone && Task.Work.Repeatable)
    Command.MinimumPosition = Task.MinimumPosition;
  send(Connection, Command, Now);
}

void StatementRunner::onOpened(ConnectionId Connection,
                               std::optional<Position> Log, TimePoint BegunAt,
                               TimePoint Now) {
  std::optional<DatabaseId> Database = Pool_.onOpened(Connection, Now);
  if (!Database)
    return;
  if (Unreachable_.erase(*Database) > 0)
    Hooks_.ReachabilityChanged(*Database, true, "");
  Table_.onAnswer(*Database, Log, BegunAt);
  const DatabaseInfo *Info = Table_.find(*Database);
  if (!Info)
    return;
  GroupId Group = Info->Listing.Group;
  if (Log)
    Placement_.onPosition(*Database, *Log, BegunAt, Now);
  startWaiting(Group, Now);
}

/// True when the connection failed because the database's connection cap is
/// reached. Such a database closes the connection before it has read from it,
/// which resets the connection, so its answer may be lost. A database that
/// resets connections and has not answered for a while has failed instead.
bool StatementRunner::isConnectionCapReached(const DatabaseId &Database,
                                             OpenFailure Failure,
                                             std::optional<StatementCode> Code,
                                             TimePoint Now) const {
  if (Code == StatementCode::Overloaded)
    return true;
  const DatabaseInfo *Info = Table_.find(Database);
  bool IsSilent = Info && Info->LastAnsweredStart &&
                  Now - *Info->LastAnsweredStart > ResetAsFullPeriod;
  return Failure == OpenFailure::Reset && !IsSilent;
}

void StatementRunner::onOpenFailed(ConnectionId Connection, OpenFailure Failure,
                                   std::optional<StatementCode> Code,
                                   TimePoint Now) {
  std::optional<DatabaseId> Database = Pool_.onClosed(Connection);
  if (!Database)
    return;
  bool CapReached = isConnectionCapReached(*Database, Failure, Code, Now);
  if (Unreachable_.insert(*Database).second)
    Hooks_.ReachabilityChanged(*Database, false,
                               CapReached ? nameOf(StatementCode::Overloaded)
                                          : nameOf(Failure));
  if (CapReached)
    Pool_.onOverloaded(*Database, Now);
  else
    Table_.onFailure(*Database, Failure == OpenFailure::Refused, Now);
}

void StatementRunner::onClosed(ConnectionId Connection, TimePoint Now) {
  std::optional<DatabaseId> Database = Pool_.onClosed(Connection);
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return;
  ConnectionState Lost = std::move(Found->second);
  Connections_.erase(Found);
  if (Database)
    endExchanges(Lost, *Database);
  if (!Lost.PendingAnswers.empty() && Database)
    Table_.onFailure(*Database, false, Now);
  auto Task = Statements_.find(Lost.Session);
  if (Task != Statements_.end() && Task->second.Connection == Connection) {
    onStatementLost(Task->second, Now);
    return;
  }
  if (Lost.Session)
    Hooks_.TransactionLost(Lost.Session);
}

/// Handles the loss of the connection on which the statement was running.
void StatementRunner::onStatementLost(Progress &Task, TimePoint Now) {
  const StatementWork &Work = Task.Work;
  if (Task.CurrentStage == Stage::Beginning ||
      (Work.Repeatable && Task.Attempts < MaximumAttempts)) {
    Task.Avoided.insert(Task.Database);
    Task.CurrentStage = Stage::Waiting;
    Task.Connection = 0;
    if (!tryStart(Task, Now))
      Queue_.add(Work.Group, Work.Session, Work.Priority, Work.ReceivedAt);
    return;
  }
  if (Task.CurrentStage == Stage::Repeating) {
    fail(Task, StatementCode::Aborted, "the connection was lost", Now);
    return;
  }
  fail(Task, codeOfUnanswered(Work),
       isCommit(Work) ? "the answer was lost" : "the connection was lost", Now);
}

void StatementRunner::onAnswer(ConnectionId Connection, StatementAnswer Answer,
                               TimePoint Now) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end() || Found->second.PendingAnswers.empty()) {
    dropConnection(Connection);
    return;
  }
  PendingAnswer Answered = Found->second.PendingAnswers.front();
  Found->second.PendingAnswers.pop_front();
  DatabaseId Database = Pool_.databaseOf(Connection).value_or("");
  if (occupiesSlot(Answered.Verb))
    Table_.onEnded(Database);
  Table_.onAnswer(Database, Answer.Log, Answered.SentAt);
  if (Answer.Log)
    Placement_.onPosition(Database, *Answer.Log, Answered.SentAt, Now);

  auto Task = Statements_.find(Found->second.Session);
  bool Owned =
      Task != Statements_.end() && Task->second.Connection == Connection;
  bool IsPreparation = Answered.Verb == CommandVerb::SetVariable ||
                       Answered.Verb == CommandVerb::Reset ||
                       Answered.Verb == CommandVerb::Prepare;
  if (IsPreparation) {
    if (Answer.Code == StatementCode::Done)
      return;
    // The statement that follows may run with the wrong session variables.
    dropConnection(Connection);
    if (Owned)
      onStatementLost(Task->second, Now);
    return;
  }
  bool IsBegin = Answered.Verb == CommandVerb::Begin ||
                 Answered.Verb == CommandVerb::BeginRead;
  if (Owned && IsBegin) {
    onBegun(Task->second, Answer, Now);
    return;
  }
  if (Owned && Answered.Verb == CommandVerb::Forward) {
    onForwarded(Task->second, std::move(Answer), Now);
    return;
  }
  // No statement waits for this answer.
  ConnectionState &Used = Found->second;
  if (!Used.PendingAnswers.empty() || Used.Session)
    return;
  if (Answer.State == TransactionStatus::Idle)
    releaseConnection(Connection, Now);
  else
    rollBack(Connection, Now);
}

void StatementRunner::onBegun(Progress &Task, const StatementAnswer &Answer,
                              TimePoint Now) {
  if (Answer.Code != StatementCode::Done) {
    retryOrFinish(Task, Answer, Now);
    return;
  }
  Connections_[Task.Connection].InTransaction = true;
  Pool_.pin(Task.Connection);
  forward(Task, Now);
}

void StatementRunner::onForwarded(Progress &Task, StatementAnswer Answer,
                                  TimePoint Now) {
  const StatementWork &Work = Task.Work;
  bool Done = Answer.Code == StatementCode::Done;
  if (!Done && !isInTransaction(Work) && hasNotRun(Answer.Code)) {
    retryOrFinish(Task, std::move(Answer), Now);
    return;
  }
  if (Answer.Code == StatementCode::UnknownName && Work.Prepared) {
    onPreparationForgotten(Task, Now);
    return;
  }
  if (mayRepeat(Task, Answer, Now)) {
    Task.CurrentStage = Stage::Repeating;
    return;
  }
  if (Done)
    Table_.onServiceTime(Task.Database, Now - Task.SentAt);
  if (Done && isCommit(Work)) {
    detachConnection(Task, Answer.State, Now);
    Task.HeldAnswer = std::move(Answer);
    Task.CurrentStage = Stage::Confirming;
    confirmCommit(Task, Now);
    return;
  }
  StatementResult Result;
  Result.Database = Task.Database;
  Result.Attempts = Task.Attempts;
  if (Answer.State == TransactionStatus::InTransaction && !Work.EndsTransaction)
    Result.Pinned = std::exchange(Task.Connection, 0);
  else
    detachConnection(Task, Answer.State, Now);
  Result.Answer = std::move(Answer);
  finish(Work.Session, std::move(Result), Now);
}

/// The statement has not run. What else the database holds for the connection
/// is unknown, so the connection is closed, which rolls back a transaction.
void StatementRunner::onPreparationForgotten(Progress &Task, TimePoint Now) {
  static constexpr const char *Detail =
      "the database has no such prepared statement any more";
  dropConnection(std::exchange(Task.Connection, 0));
  if (isInTransaction(Task.Work))
    fail(Task, StatementCode::Aborted, Detail, Now);
  else
    retryOrFinish(Task, errorAnswer(StatementCode::Busy, Detail), Now);
}

/// A busy database has not run the statement, and the transaction is still
/// open.
bool StatementRunner::mayRepeat(const Progress &Task,
                                const StatementAnswer &Answer,
                                TimePoint Now) const {
  return Answer.Code == StatementCode::Busy &&
         Answer.State == TransactionStatus::InTransaction &&
         isInTransaction(Task.Work) && Task.Attempts < MaximumAttempts &&
         Now < Task.Work.Deadline;
}

bool StatementRunner::mayReturnCommitAnswer(const Progress &Task,
                                            TimePoint Now) const {
  const LeadershipRecord *Record = Authority_.recordOf(Task.Work.Group);
  return Record && Record->Revision == Task.LeadershipRevision &&
         Authority_.mayAcknowledge(Task.Work.Group, Task.Database, Now);
}

/// A leadership whose confirmation has just expired may be confirmed again a
/// moment later. That proves that no other database was the leader when the
/// commit was made.
void StatementRunner::confirmCommit(Progress &Task, TimePoint Now) {
  StatementResult Result;
  Result.Database = Task.Database;
  Result.Attempts = Task.Attempts;
  const LeadershipRecord *Record = Authority_.recordOf(Task.Work.Group);
  bool Replaced = !Record || Record->Revision != Task.LeadershipRevision;
  if (mayReturnCommitAnswer(Task, Now))
    Result.Answer = std::move(Task.HeldAnswer);
  else if (Replaced || Now >= Task.Work.Deadline)
    Result.Answer = errorAnswer(StatementCode::InDoubt,
                                "the primary may have been replaced");
  else
    return;
  finish(Task.Work.Session, std::move(Result), Now);
}

/// True when the leader itself has not got the session's last write, because a
/// promotion has rolled it back.
bool StatementRunner::isLastWriteLost(const Progress &Task,
                                      const StatementAnswer &Answer,
                                      TimePoint Now) const {
  return Answer.Code == StatementCode::Behind && Task.Work.LastWrite &&
         Answer.Log && Task.Work.LastWrite->Term < Answer.Log->Term &&
         Authority_.mayAcknowledge(Task.Work.Group, Task.Database, Now);
}

void StatementRunner::retryOrFinish(Progress &Task, StatementAnswer Answer,
                                    TimePoint Now) {
  if (isLastWriteLost(Task, Answer, Now)) {
    Task.LastWriteLost = true;
    Task.Work.LastWrite.reset();
  } else {
    Task.Avoided.insert(Task.Database);
  }
  if (Answer.Code == StatementCode::Busy) {
    if (DatabaseInfo *Info = Table_.find(Task.Database))
      Info->AvoidUntil = Now + UrgentWait;
  }
  if (Answer.Code == StatementCode::Behind) {
    Table_.onLagging(Task.Database, Now);
  }
  detachConnection(Task, Answer.State, Now);
  if (Task.Attempts >= MaximumAttempts || Now >= Task.Work.Deadline) {
    StatementResult Result;
    Result.Answer = std::move(Answer);
    Result.Database = Task.Database;
    Result.Attempts = Task.Attempts;
    finish(Task.Work.Session, std::move(Result), Now);
    return;
  }
  Task.CurrentStage = Stage::Waiting;
  Task.Connection = 0;
  if (tryStart(Task, Now))
    return;
  // A database that refused the statement may accept it later. One that is
  // behind is excluded for a while by its LaggingUntil time.
  Task.Avoided.clear();
  enqueue(Task, Now);
}

/// Releases the statement's connection, after a rollback if a transaction is
/// open on it.
void StatementRunner::detachConnection(Progress &Task, TransactionStatus State,
                                       TimePoint Now) {
  ConnectionId Connection = std::exchange(Task.Connection, 0);
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return;
  if (State != TransactionStatus::Idle) {
    rollBack(Connection, Now);
    return;
  }
  if (!Found->second.PendingAnswers.empty()) {
    dropConnection(Connection);
    return;
  }
  releaseConnection(Connection, Now);
}

void StatementRunner::releaseConnection(ConnectionId Connection,
                                        TimePoint Now) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return;
  // A rollback may have restored variables that were set inside the
  // transaction.
  if (Found->second.VariableSetInTransaction)
    Pool_.profileOf(Connection).Uncertain = true;
  Connections_.erase(Found);
  std::optional<DatabaseId> Database = Pool_.databaseOf(Connection);
  Pool_.release(Connection, Now);
  const DatabaseInfo *Info = Database ? Table_.find(*Database) : nullptr;
  if (Info)
    startWaiting(GroupId(Info->Listing.Group), Now);
}

void StatementRunner::endExchanges(const ConnectionState &Ended,
                                   const DatabaseId &Database) {
  for (const PendingAnswer &Pending : Ended.PendingAnswers)
    if (occupiesSlot(Pending.Verb))
      Table_.onEnded(Database);
}

void StatementRunner::dropConnection(ConnectionId Connection) {
  auto Found = Connections_.find(Connection);
  std::optional<DatabaseId> Database = Pool_.databaseOf(Connection);
  if (Found != Connections_.end() && Database)
    endExchanges(Found->second, *Database);
  Connections_.erase(Connection);
  Pool_.drop(Connection);
}

void StatementRunner::finish(CallerSessionId Session, StatementResult Result,
                             TimePoint Now) {
  Queue_.remove(Session);
  if (auto Found = Statements_.find(Session); Found != Statements_.end()) {
    Result.MinimumPosition = Found->second.MinimumPosition;
    Result.LastWriteLost = Found->second.LastWriteLost;
    if (auto At = Authority_.confirmedAt(Found->second.Work.Group))
      Result.LeadershipAge = std::chrono::floor<Milliseconds>(Now - *At);
    Statements_.erase(Found);
  }
  Hooks_.Finished(Session, std::move(Result), Now);
}

void StatementRunner::fail(Progress &Task, StatementCode Code,
                           std::string Detail, TimePoint Now) {
  StatementResult Result;
  Result.Answer = errorAnswer(Code, std::move(Detail));
  Result.Database = Task.Database;
  Result.Attempts = Task.Attempts;
  finish(Task.Work.Session, std::move(Result), Now);
}

void StatementRunner::startWaiting(const GroupId &Group, TimePoint Now) {
  if (Queue_.countOf(Group) == 0)
    return;
  std::vector<CallerSessionId> Waiting = Queue_.waitingFor(Group);
  if (Waiting.size() > MaximumScan)
    Waiting.resize(MaximumScan);
  for (CallerSessionId Session : Waiting) {
    auto Task = Statements_.find(Session);
    if (Task == Statements_.end() ||
        Task->second.CurrentStage != Stage::Waiting)
      continue;
    if (tryStart(Task->second, Now))
      Queue_.remove(Session);
  }
}

void StatementRunner::onLeaderChanged(const GroupId &Group, TimePoint Now) {
  Placement_.onLeaderChanged(Group);
  startWaiting(Group, Now);
}

/// Finishes a statement at its deadline. If it was sent, its answer is still
/// pending, so the connection is closed.
void StatementRunner::expire(Progress &Task, TimePoint Now) {
  if (Task.CurrentStage == Stage::Confirming) {
    confirmCommit(Task, Now);
    return;
  }
  if (Task.CurrentStage == Stage::Waiting ||
      Task.CurrentStage == Stage::Beginning) {
    if (Task.CurrentStage == Stage::Beginning) {
      Table_.onFailure(Task.Database, false, Now);
      dropConnection(Task.Connection);
    }
    fail(Task, StatementCode::Busy, "no connection in time", Now);
    return;
  }
  if (Task.CurrentStage == Stage::Repeating) {
    rollBack(Task.Connection, Now);
    fail(Task, StatementCode::Busy, "the database was busy, not run", Now);
    return;
  }
  Table_.onTimeout(Task.Database, Task.SentAt, Now);
  dropConnection(Task.Connection);
  fail(Task, codeOfUnanswered(Task.Work), "no answer in time", Now);
}

void StatementRunner::dropUnresponsiveConnections(TimePoint Now) {
  std::vector<ConnectionId> Unresponsive;
  for (const auto &[Connection, Used] : Connections_)
    if (Used.Session == 0 && !Used.PendingAnswers.empty() &&
        Now - Used.PendingAnswers.front().SentAt > DetachedAnswerTimeout)
      Unresponsive.push_back(Connection);
  for (ConnectionId Connection : Unresponsive)
    dropConnection(Connection);
}

std::map<DatabaseId, TimePoint> StatementRunner::unansweredSince() const {
  std::map<DatabaseId, TimePoint> Oldest;
  for (const auto &[Connection, Used] : Connections_) {
    std::optional<DatabaseId> Database = Pool_.databaseOf(Connection);
    if (!Database || Used.PendingAnswers.empty())
      continue;
    TimePoint SentAt = Used.PendingAnswers.front().SentAt;
    const DatabaseInfo *Info = Table_.find(*Database);
    if (!Info ||
        (Info->LastAnsweredStart && *Info->LastAnsweredStart >= SentAt))
      continue;
    auto [Entry, Inserted] = Oldest.try_emplace(*Database, SentAt);
    Entry->second = std::min(Entry->second, SentAt);
  }
  return Oldest;
}

/// Refusing a statement shortens the wait of those behind it.
void StatementRunner::refuseExpectedLate(TimePoint Now) {
  std::vector<std::pair<CallerSessionId, Milliseconds>> Refused;
  for (const GroupId &Group : Queue_.groups()) {
    std::size_t Ahead = 0;
    for (CallerSessionId Session : Queue_.waitingFor(Group)) {
      auto Task = Statements_.find(Session);
      if (Task == Statements_.end() || Now >= Task->second.Work.Deadline)
        continue;
      TimePoint Deadline = Task->second.Work.Deadline;
      if (auto Start = waitBeyond(Deadline, Task->second, Ahead, Now))
        Refused.emplace_back(Session, *Start);
      else
        ++Ahead;
    }
  }
  for (const auto &[Session, Start] : Refused)
    if (auto Task = Statements_.find(Session); Task != Statements_.end())
      refuse(Task->second, Start, Now);
}

void StatementRunner::resume(Stage Resumed, TimePoint Now) {
  std::vector<CallerSessionId> Due;
  for (const auto &[Session, Task] : Statements_)
    if (Task.CurrentStage == Resumed && Now < Task.Work.Deadline)
      Due.push_back(Session);
  for (CallerSessionId Session : Due) {
    auto Task = Statements_.find(Session);
    if (Task == Statements_.end())
      continue;
    if (Resumed == Stage::Confirming)
      confirmCommit(Task->second, Now);
    else
      forward(Task->second, Now);
  }
}

void StatementRunner::expireOverdue(TimePoint Now) {
  std::vector<CallerSessionId> Late;
  for (const auto &[Session, Task] : Statements_)
    if (Now >= Task.Work.Deadline)
      Late.push_back(Session);
  for (CallerSessionId Session : Late)
    if (auto Task = Statements_.find(Session); Task != Statements_.end())
      expire(Task->second, Now);
}

void StatementRunner::endStatements(TimePoint Now) {
  for (auto &[Session, Task] : Statements_)
    Task.Work.Deadline = std::min(Task.Work.Deadline, Now);
  expireOverdue(Now);
}

void StatementRunner::tick(TimePoint Now) {
  refuseExpectedLate(Now);
  resume(Stage::Confirming, Now);
  resume(Stage::Repeating, Now);
  expireOverdue(Now);
  dropUnresponsiveConnections(Now);
  Pool_.tick(Now);
  for (const GroupId &Group : Queue_.groups())
    startWaiting(Group, Now);
}

} // namespace nutmegloom
