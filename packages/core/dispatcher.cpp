#include "core/dispatcher.h"

#include <algorithm>

namespace nutmegloom {

/// Interval at which connections and exchanges are checked.
static constexpr Milliseconds CheckInterval{20};
/// Minimum age at which an exchange is checked for loss.
static constexpr Milliseconds ProgressCheckAge{500};
/// Time for which a database counts as unresponsive after an exchange was lost.
static constexpr Milliseconds UnresponsivePause{1000};

struct Dispatcher::Work {
  DatabaseId Database;
  bool Scheduled = false;
  bool NeedsConnection = true;
  bool Started = false;
  StartHandler Start;
};

struct Dispatcher::Exchange {
  ExchangeId Id = 0;
  DatabaseId Database;
  TimePoint SentAt;
  SendOptions Options;
  /// Empty if the result is to be discarded.
  ResultHandler Handler;
};

struct Dispatcher::DatabaseQueue {
  explicit DatabaseQueue(std::uint32_t Slots, const Policy &Limits)
      : Queue(Slots, Limits) {}
  Scheduler Queue;
  /// Work that waits for a connection and already has its slot, if it needs
  /// one.
  std::deque<WorkId> AwaitingConnection;
  std::optional<TimePoint> LastLossAt;
};

Dispatcher::Dispatcher(const Tables &Data, const Policy &Limits,
                       Hooks Callbacks, ExchangeId FirstExchange)
    : Data_(Data), Limits_(Limits), Hooks_(std::move(Callbacks)),
      Pool_(Data, Hooks_.Connections), NextExchange_(FirstExchange) {}

Dispatcher::~Dispatcher() = default;

Dispatcher::DatabaseQueue &Dispatcher::queueOf(const DatabaseId &Database) {
  const auto Entity = Data_.Databases.find(Database);
  const std::uint32_t Slots =
      Entity == Data_.Databases.end() ? 1 : Entity->second.Slots;
  const auto [Found, Inserted] = Queues_.try_emplace(Database, Slots, Limits_);
  if (!Inserted)
    Found->second.Queue.setSlots(Slots);
  return Found->second;
}

std::variant<WorkId, AdmissionRefusal>
Dispatcher::enqueue(const DatabaseId &Database, ScheduledWork Scheduled,
                    bool NeedsConnection, StartHandler Start, TimePoint Now) {
  const WorkId Id = ++LastWork_;
  Scheduled.Task = Id;
  if (auto Refusal = queueOf(Database).Queue.submit(Scheduled, Now))
    return *Refusal;
  Work_[Id] = Work{Database, true, NeedsConnection, false, std::move(Start)};
  return Id;
}

WorkId Dispatcher::requestConnection(const DatabaseId &Database,
                                     StartHandler Start, TimePoint Now) {
  const WorkId Id = ++LastWork_;
  Work_[Id] = Work{Database, false, true, false, std::move(Start)};
  queueOf(Database).AwaitingConnection.push_front(Id);
  Pool_.ensureAvailable(Database, 1, Now);
  return Id;
}

bool Dispatcher::cancelWork(WorkId Id, TimePoint Now) {
  const auto Found = Work_.find(Id);
  if (Found == Work_.end() || Found->second.Started)
    return false;
  DatabaseQueue &Target = queueOf(Found->second.Database);
  if (std::erase(Target.AwaitingConnection, Id) > 0 && Found->second.Scheduled)
    Target.Queue.finish(Id, false, Now);
  else
    Target.Queue.remove(Id);
  Work_.erase(Found);
  return true;
}

void Dispatcher::finishWork(WorkId Id, ConnectionId Connection, TimePoint Now) {
  releaseSlot(Id, false, Now);
  if (Connection != 0)
    Pool_.release(Connection, Now);
}

void Dispatcher::releaseSlot(WorkId Id, bool Executed, TimePoint Now) {
  const auto Found = Work_.find(Id);
  if (Found == Work_.end())
    return;
  if (Found->second.Scheduled)
    queueOf(Found->second.Database).Queue.finish(Id, Executed, Now);
  Work_.erase(Found);
}

ExchangeId Dispatcher::send(ConnectionId Connection, DatabaseRequest Request,
                            const SendOptions &Options, ResultHandler Handler,
                            TimePoint Now) {
  const ExchangeId Id = NextExchange_++;
  Request.Exchange = Id;
  const std::optional<DatabaseId> Database = Pool_.databaseOf(Connection);
  Exchanges_[Connection] = Exchange{Id, Database.value_or(DatabaseId()), Now,
                                    Options, std::move(Handler)};
  ConnectionOf_[Id] = Connection;
  Hooks_.Send(Connection, Request);
  return Id;
}

void Dispatcher::ignoreResult(ExchangeId Id) {
  const auto Found = ConnectionOf_.find(Id);
  if (Found != ConnectionOf_.end())
    Exchanges_.at(Found->second).Handler = nullptr;
}

void Dispatcher::releaseConnection(ConnectionId Connection, TimePoint Now) {
  if (Exchanges_.contains(Connection)) {
    closeConnection(Connection, Now);
    return;
  }
  Pool_.release(Connection, Now);
}

void Dispatcher::closeConnection(ConnectionId Connection, TimePoint Now) {
  const auto Found = Exchanges_.find(Connection);
  if (Found != Exchanges_.end()) {
    const WorkId Work = Found->second.Options.Work;
    ConnectionOf_.erase(Found->second.Id);
    Exchanges_.erase(Found);
    releaseSlot(Work, false, Now);
  }
  Pool_.close(Connection);
}

void Dispatcher::onConnectionOpened(ConnectionId Connection, TimePoint Now) {
  Pool_.onOpened(Connection, Now);
}

void Dispatcher::onConnectionClosed(ConnectionId Connection, TimePoint Now) {
  if (Exchanges_.contains(Connection)) {
    DatabaseFailure Lost;
    Lost.Exchange = Exchanges_.at(Connection).Id;
    Lost.Detail = "the connection was closed";
    onFailure(Connection, Lost, Now);
    return;
  }
  Pool_.onClosed(Connection, Now);
}

void Dispatcher::endExchange(ConnectionId Connection,
                             const ExchangeResult &Result, bool Executed,
                             bool Closed, TimePoint Now) {
  const auto Found = Exchanges_.find(Connection);
  const Exchange Ended = std::move(Found->second);
  Exchanges_.erase(Found);
  ConnectionOf_.erase(Ended.Id);
  releaseSlot(Ended.Options.Work, Executed, Now);
  if (Closed)
    Pool_.onClosed(Connection, Now);
  else if (Ended.Options.KeepConnection && !Ended.Handler)
    Pool_.close(Connection);
  else if (!Ended.Options.KeepConnection)
    Pool_.release(Connection, Now);
  if (Ended.Handler)
    Ended.Handler(Result, Now);
}

void Dispatcher::onAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                          TimePoint Now) {
  const auto Found = Exchanges_.find(Connection);
  // An answer to any other exchange than the one in progress belongs to a
  // request that was given up and must not reach the current handler.
  if (Found == Exchanges_.end())
    return;
  if (Found->second.Id == Answer.Exchange) {
    endExchange(Connection, Answer, true, false, Now);
    return;
  }
  DatabaseFailure Mismatch;
  Mismatch.Exchange = Found->second.Id;
  Mismatch.Kind = DatabaseFailureKind::Malformed;
  Mismatch.Detail = "received the answer to another exchange";
  Hooks_.Connections.Close(Connection);
  endExchange(Connection, Mismatch, false, true, Now);
}

void Dispatcher::onFailure(ConnectionId Connection,
                           const DatabaseFailure &Failure, TimePoint Now) {
  const auto Found = Exchanges_.find(Connection);
  if (Found == Exchanges_.end() || Found->second.Id != Failure.Exchange)
    return;
  const DatabaseId Database = Found->second.Database;
  const bool Closed = !provesNotExecuted(Failure.Kind) ||
                      Failure.Kind == DatabaseFailureKind::NotConnected;
  if (Failure.Kind == DatabaseFailureKind::TooManyConnections) {
    Pool_.onRefused(Database, Now);
    Hooks_.Connections.Close(Connection);
    endExchange(Connection, Failure, false, true, Now);
    return;
  }
  endExchange(Connection, Failure, false, Closed, Now);
}

void Dispatcher::startReadyWork(const DatabaseId &Database, TimePoint Now) {
  DatabaseQueue &Target = queueOf(Database);
  while (const auto Id = Target.Queue.next(Now)) {
    const auto Found = Work_.find(*Id);
    if (Found == Work_.end()) {
      Target.Queue.finish(*Id, false, Now);
      continue;
    }
    if (Found->second.NeedsConnection) {
      Target.AwaitingConnection.push_back(*Id);
      continue;
    }
    Found->second.Started = true;
    const StartHandler Start = Found->second.Start;
    Start(*Id, 0, Now);
  }
  while (!Target.AwaitingConnection.empty()) {
    const auto Connection = Pool_.takeIdle(Database);
    if (!Connection)
      break;
    const WorkId Id = Target.AwaitingConnection.front();
    Target.AwaitingConnection.pop_front();
    Work &Ready = Work_.at(Id);
    Ready.Started = true;
    const StartHandler Start = Ready.Start;
    Start(Id, *Connection, Now);
  }
  if (!Target.AwaitingConnection.empty())
    Pool_.ensureAvailable(Database, Target.AwaitingConnection.size(), Now);
}

bool Dispatcher::isPrimaryReplaced(const DatabaseId &Database) const {
  const auto Found = Data_.Databases.find(Database);
  if (Found == Data_.Databases.end())
    return true;
  const auto Group = Data_.Groups.find(Found->second.Group);
  return Group != Data_.Groups.end() && Group->second.Primary &&
         *Group->second.Primary != Database;
}

bool Dispatcher::isExchangeLost(const Exchange &Candidate, TimePoint Now) {
  const Duration Age = Now - Candidate.SentAt;
  if (Age < ProgressCheckAge)
    return false;
  const Milliseconds Service =
      queueOf(Candidate.Database)
          .Queue.serviceTimeOf(Candidate.Options.StatementDigest);
  const Milliseconds CheckAge = std::max(ProgressCheckAge, 2 * Service);
  // A read can simply be sent again. If a write is given up, its outcome must
  // be resolved, so a write gets the full ConnectionSilence unless the primary
  // was replaced, whose answer would be of no use.
  const Milliseconds LostAge =
      Candidate.Options.SafeToRetry || isPrimaryReplaced(Candidate.Database)
          ? CheckAge
          : std::max(CheckAge, Limits_.ConnectionSilence);
  if (Age < LostAge)
    return false;
  const auto Found = Data_.Databases.find(Candidate.Database);
  if (Found == Data_.Databases.end())
    return true;
  const DatabaseEntity &Database = Found->second;
  if (Database.FailingSince)
    return true;
  // Only a status that was requested well after the exchange was sent shows
  // that the database did not receive the request.
  if (!Database.StatusSentAt ||
      *Database.StatusSentAt < Candidate.SentAt + ProgressCheckAge / 2)
    return false;
  const std::vector<std::string> &Executing = Database.Status.Executing;
  return std::find(Executing.begin(), Executing.end(),
                   std::to_string(Candidate.Id)) == Executing.end();
}

void Dispatcher::failLostExchanges(TimePoint Now) {
  std::vector<ConnectionId> Lost;
  for (const auto &[Connection, Candidate] : Exchanges_)
    if (isExchangeLost(Candidate, Now))
      Lost.push_back(Connection);
  for (const ConnectionId Connection : Lost) {
    const auto Found = Exchanges_.find(Connection);
    if (Found == Exchanges_.end())
      continue;
    const DatabaseId Database = Found->second.Database;
    queueOf(Database).LastLossAt = Now;
    DatabaseFailure Failure;
    Failure.Exchange = Found->second.Id;
    Failure.Detail = "the connection stopped responding";
    Hooks_.Connections.Close(Connection);
    // The same fault may affect other connections, also those to other
    // databases on the same network path.
    Pool_.closeIdle(Database, Found->second.SentAt);
    endExchange(Connection, Failure, false, true, Now);
  }
}

void Dispatcher::tick(TimePoint Now) {
  LastTick_ = Now;
  if (!NextCheckAt_ || Now >= *NextCheckAt_) {
    NextCheckAt_ = Now + CheckInterval;
    failLostExchanges(Now);
    Pool_.tick(Now);
  }
  std::vector<DatabaseId> Databases;
  for (const auto &[Database, Target] : Queues_)
    if (Target.Queue.waiting() > 0 || !Target.AwaitingConnection.empty())
      Databases.push_back(Database);
  for (const DatabaseId &Database : Databases)
    startReadyWork(Database, Now);
}

std::vector<WorkId> Dispatcher::takeTooLate(TimePoint Now) {
  std::vector<WorkId> Expired;
  for (auto &[Database, Target] : Queues_)
    for (const TaskId Id : Target.Queue.takeTooLate(Now))
      if (Work_.erase(Id) > 0)
        Expired.push_back(Id);
  return Expired;
}

Milliseconds Dispatcher::serviceTimeOf(const DatabaseId &Database,
                                       std::uint64_t StatementDigest) {
  return queueOf(Database).Queue.serviceTimeOf(StatementDigest);
}

Milliseconds Dispatcher::expectedWait(const DatabaseId &Database,
                                      const ScheduledWork &Scheduled) {
  return queueOf(Database).Queue.expectedWait(Scheduled, LastTick_);
}

std::size_t Dispatcher::waitingAt(const DatabaseId &Database) const {
  const auto Found = Queues_.find(Database);
  return Found == Queues_.end() ? 0 : Found->second.Queue.waiting();
}

std::size_t Dispatcher::loadOf(const DatabaseId &Database) const {
  const auto Found = Queues_.find(Database);
  return Found == Queues_.end()
             ? 0
             : Found->second.Queue.waiting() + Found->second.Queue.running();
}

bool Dispatcher::isUnresponsive(const DatabaseId &Database) const {
  const auto Found = Queues_.find(Database);
  return Found != Queues_.end() && Found->second.LastLossAt &&
         LastTick_ - *Found->second.LastLossAt < UnresponsivePause;
}

} // namespace nutmegloom
