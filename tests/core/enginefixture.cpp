#include "tests/core/enginefixture.h"

#include <algorithm>

namespace nutmegloom {

static const GroupId Group = "db/0";

EngineFixture::EngineFixture(bool Remote) {
  const RegionName Region = Remote ? "far" : "near";
  EngineHooks Hooks;
  Hooks.Answer = [this](TaskId Task, const CallerAnswer &Answer) {
    if (!Answers.emplace(Task, Answer).second)
      Violation = "task answered twice";
  };
  Hooks.Forward = [this](const HostName &Name, TaskId Task,
                         const CallerRequest &Request) {
    Forwards.push_back({Name, Task, Request});
  };
  Hooks.OpenConnection = [this](ConnectionId Connection, const DatabaseId &Id) {
    open(Connection, Id);
  };
  Hooks.CloseConnection = [this](ConnectionId Connection) {
    close(Connection);
  };
  Hooks.SendToDatabase = [this](ConnectionId Connection,
                                const DatabaseRequest &Request) {
    send(Connection, Request);
  };
  Hooks.Membership.SendHeartbeat = [](const HostEntity &,
                                      const PeerHeartbeat &) {};
  Hooks.Failover.SendControl = [this](const ControlRequest &Request) {
    sendControl(Request);
  };
  Hooks.Failover.PollStatus = [this](const DatabaseId &Id, std::uint64_t After,
                                     Milliseconds Wait) {
    poll(Id, After, Now + Wait, Now);
  };
  Hooks.Failover.Random = [] { return 0; };
  Hooks.Configuration = {
      [](std::uint64_t) {}, [](const HostName &) {},
      [](std::uint64_t, const std::string &) { return true; }};
  Hooks.NewIdentifier = [this] {
    return "id" + std::to_string(++LastIdentifier_);
  };
  PeerHeartbeat Self;
  Self.Host = "self.example";
  Self.Incarnation = "1";
  Self.Region = "near";
  Self.Zone = "near-a";
  Self.State = HostState::Ready;
  Host = std::make_unique<Engine>(Self, std::move(Hooks));

  SiteConfiguration Content;
  GroupEntity Entity;
  Entity.Id = Group;
  for (const char *Id : {"a", "b", "c"}) {
    FakeDatabase &Each = Databases[Id];
    Each.Id = Id;
    Each.LastPrimaryContact = Now;
    Each.Log.push_back({1, "", false, 0, Now});
    DatabaseEntity Member;
    Member.Id = Id;
    Member.Group = Group;
    Member.Region = Region;
    Member.Slots = 3;
    Member.ConnectionCap = 8;
    Content.Databases.push_back(Member);
    Entity.Members.push_back(Id);
  }
  database("a").Role = DatabaseRole::Primary;
  Content.Groups.push_back(Entity);
  Host->applyConfiguration(Content, Now);
  run(Milliseconds(300));
}

void EngineFixture::schedule(TimePoint When, std::function<void()> Action) {
  Events_.emplace(When, std::move(Action));
}

void EngineFixture::deliver(Milliseconds Delay, std::function<void()> Action) {
  schedule(Now + Delay, [this, Action = std::move(Action)] {
    if (Now < PausedUntil_) {
      schedule(PausedUntil_, Action);
      return;
    }
    Action();
    Host->tick(Now);
  });
}

void EngineFixture::run(Milliseconds Span) {
  const TimePoint End = Now + Span;
  while (Now < End) {
    Now += Milliseconds(1);
    while (!Events_.empty() && Events_.begin()->first <= Now) {
      const auto Action = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Action();
    }
    replicate();
    for (const auto &[Id, Each] : Databases)
      PeakConnections = std::max(PeakConnections, connectionsOf(Id));
    if (Now >= PausedUntil_ &&
        Now.time_since_epoch() % Milliseconds(10) == Duration(0))
      Host->tick(Now);
  }
}

const CallerAnswer &EngineFixture::await(TaskId Task) {
  for (int Step = 0; Step < 1000 && !Answers.contains(Task); ++Step)
    run(Milliseconds(10));
  return Answers.at(Task);
}

CallerRequest EngineFixture::makeWrite(const std::string &Key) const {
  CallerRequest Request;
  Request.Group = Group;
  Request.Kind = StatementKind::Write;
  Request.Key = Key;
  Request.Fingerprint = 1;
  Request.Caller = "caller";
  Request.Deadline = Now + Milliseconds(5000);
  return Request;
}

CallerRequest EngineFixture::makeRead(const std::string &Key) const {
  CallerRequest Request = makeWrite("");
  Request.Kind = StatementKind::Read;
  Request.Statement = Key;
  Request.Required = Position{};
  return Request;
}

CallerRequest EngineFixture::makeStep(RequestStep Step,
                                      const std::string &Transaction,
                                      const std::string &Key) const {
  CallerRequest Request = makeWrite(Key);
  Request.Step = Step;
  Request.Transaction = Transaction;
  return Request;
}

std::string EngineFixture::begin() {
  return await(submit(makeStep(RequestStep::Begin, ""))).Transaction;
}

TaskId EngineFixture::submit(const CallerRequest &Request) {
  const TaskId Task = ++LastTask_;
  deliver(Milliseconds(0),
          [this, Task, Request] { Host->submit(Task, Request, Now); });
  return Task;
}

void EngineFixture::addHost(const HostName &Name, const RegionName &Region) {
  PeerHeartbeat Beat;
  Beat.Host = Name;
  Beat.Incarnation = "1";
  Beat.Region = Region;
  Beat.State = HostState::Ready;
  Host->membership().onHeartbeat(Beat, Now);
}

FakeDatabase *EngineFixture::primary() {
  FakeDatabase *Latest = nullptr;
  for (auto &[Id, Each] : Databases)
    if (Each.Role == DatabaseRole::Primary &&
        (Latest == nullptr || Each.Term > Latest->Term))
      Latest = &Each;
  return Latest;
}

void EngineFixture::setIsolated(const DatabaseId &Id, bool Isolated) {
  database(Id).Isolated = Isolated;
}

void EngineFixture::stallConnections() {
  for (const auto &[Connection, Id] : Connections_)
    Stalled_.insert(Connection);
}

void EngineFixture::breakConnections(const DatabaseId &Id) {
  const auto Open = Connections_;
  for (const auto &[Connection, Database] : Open) {
    if (Database != Id)
      continue;
    database(Id).OpenTransactions.erase(Connection);
    Connections_.erase(Connection);
    if (PendingExchanges_.contains(Connection))
      failExchange(Connection, PendingExchanges_.at(Connection));
    else
      deliver(Milliseconds(1), [this, Connection = Connection] {
        Host->onConnectionClosed(Connection, Now);
      });
  }
}

std::size_t EngineFixture::connectionsOf(const DatabaseId &Id) const {
  return static_cast<std::size_t>(
      std::count_if(Connections_.begin(), Connections_.end(),
                    [&](const auto &Entry) { return Entry.second == Id; }));
}

void EngineFixture::replicate() {
  const FakeDatabase *Primary = primary();
  if (Primary == nullptr)
    return;
  for (auto &[Id, Each] : Databases)
    if (Id != Primary->Id)
      Each.pull(*Primary, Now);
}

void EngineFixture::poll(const DatabaseId &Id, std::uint64_t After,
                         TimePoint Until, TimePoint SentAt) {
  const FakeDatabase &Target = database(Id);
  if (Target.Isolated) {
    deliver(Milliseconds(300), [this, Id] { Host->onStatusFailed(Id, Now); });
    return;
  }
  if (Target.Log.size() > After || Now >= Until) {
    deliver(Milliseconds(2), [this, SentAt, Status = Target.status(Now)] {
      Host->onStatus(Status, SentAt, Now);
    });
    return;
  }
  schedule(Now + Milliseconds(3),
           [=, this] { poll(Id, After, Until, SentAt); });
}

void EngineFixture::sendControl(const ControlRequest &Request) {
  schedule(Now + Milliseconds(1), [this, Request, SentAt = Now] {
    FakeDatabase &Target = database(Request.Database);
    if (Target.Isolated) {
      deliver(Milliseconds(300),
              [this, Request] { Host->onControlFailed(Request, Now); });
    } else if (const auto Refused = Target.handleControl(Request, Now)) {
      deliver(Milliseconds(1), [this, Request, Refused] {
        Host->onControlRefused(Request, *Refused, Now);
      });
    } else {
      deliver(Milliseconds(1),
              [this, Request, SentAt, Status = Target.status(Now)] {
                Host->onControlGranted(Request, Status, SentAt, Now);
              });
    }
  });
}

void EngineFixture::open(ConnectionId Connection, const DatabaseId &Id) {
  Connections_[Connection] = Id;
  const bool Isolated = database(Id).Isolated;
  deliver(Milliseconds(Isolated ? 200 : 3), [this, Connection, Isolated] {
    if (!Connections_.contains(Connection))
      return;
    if (!Isolated) {
      Host->onConnectionOpened(Connection, Now);
      return;
    }
    Connections_.erase(Connection);
    Host->onConnectionClosed(Connection, Now);
  });
}

void EngineFixture::close(ConnectionId Connection) {
  const auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return;
  database(Found->second).OpenTransactions.erase(Connection);
  Connections_.erase(Found);
  PendingExchanges_.erase(Connection);
}

void EngineFixture::send(ConnectionId Connection,
                         const DatabaseRequest &Request) {
  const auto Found = Connections_.find(Connection);
  if (Found == Connections_.end()) {
    // The connection has broken, and the engine has not been told yet.
    failExchange(Connection, Request.Exchange);
    return;
  }
  const DatabaseId Id = Found->second;
  if (!PendingExchanges_.emplace(Connection, Request.Exchange).second)
    Violation = "request sent on a connection with an unanswered request";
  Sent.push_back({Connection, Request});
  const Milliseconds Delay = Milliseconds(1) + RequestDelay;
  schedule(Now + Delay,
           [=, this] { onRequestArrival(Connection, Id, Request); });
}

void EngineFixture::onRequestArrival(ConnectionId Connection,
                                     const DatabaseId &Id,
                                     const DatabaseRequest &Request) {
  if (Stalled_.contains(Connection))
    return;
  if (database(Id).Isolated) {
    // The network may still deliver the request after the database reconnects.
    schedule(Now + Milliseconds(700),
             [=, this] { onRequestArrival(Connection, Id, Request); });
    return;
  }
  database(Id).Executing.push_back(std::to_string(Request.Exchange));
  schedule(Now + ServiceTime, [=, this] {
    FakeDatabase &Target = database(Id);
    std::erase(Target.Executing, std::to_string(Request.Exchange));
    const auto Result = Target.execute(Connection, Request, Now);
    if (AnswersToLose > 0) {
      --AnswersToLose;
      Target.OpenTransactions.erase(Connection);
      Connections_.erase(Connection);
      failExchange(Connection, Request.Exchange);
      return;
    }
    if (Target.Isolated)
      return;
    deliver(Milliseconds(1), [=, this] {
      if (!Connections_.contains(Connection))
        return;
      PendingExchanges_.erase(Connection);
      if (const auto *Answer = std::get_if<DatabaseAnswer>(&Result))
        Host->onDatabaseAnswer(Connection, *Answer, Now);
      else
        Host->onDatabaseFailure(Connection, std::get<DatabaseFailure>(Result),
                                Now);
    });
  });
}

void EngineFixture::failExchange(ConnectionId Connection, ExchangeId Exchange) {
  PendingExchanges_.erase(Connection);
  DatabaseFailure Broken;
  Broken.Exchange = Exchange;
  deliver(Milliseconds(1), [this, Connection, Broken] {
    Host->onDatabaseFailure(Connection, Broken, Now);
  });
}

} // namespace nutmegloom
