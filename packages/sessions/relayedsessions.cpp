#include "sessions/relayedsessions.h"

namespace nutmegloom {

namespace {

constexpr CallerSessionId RelayedBit = CallerSessionId{1} << 62;
/// Hosts that have sessions here send several pings a second.
constexpr Milliseconds SilenceTimeout{3000};

} // namespace

bool RelayedSessions::isRelayed(CallerSessionId Session) {
  return (Session & RelayedBit) != 0;
}

void RelayedSessions::onReceived(IncomingRelayId Link,
                                 const RelayMessage &Message, TimePoint Now) {
  HeardAt_[Link] = Now;
  if (const auto *Asked = std::get_if<RelayedStatement>(&Message))
    runStatement(Link, *Asked, Now);
  else if (const auto *Ended = std::get_if<RelayedCancel>(&Message))
    endSession({Link, Ended->Session}, Now);
  else if (const auto *Ping = std::get_if<RelayPing>(&Message))
    Hooks_.Send(Link, RelayPong{Hooks_.Configuration().Version, Leaving_,
                                Ping->Number, Hooks_.ConfigurationAge(Now)});
  else if (const auto *Quota = std::get_if<QuotaRequest>(&Message))
    Hooks_.Send(Link, Admission_.onRequest(*Quota, Now));
  else if (std::holds_alternative<ConfigurationRequest>(Message))
    Hooks_.Send(Link, Hooks_.Configuration());
}

void RelayedSessions::runStatement(IncomingRelayId Link,
                                   const RelayedStatement &Message,
                                   TimePoint Now) {
  Origin From{Link, Message.Work.Session};
  auto [Number, IsNew] = Numbers_.try_emplace(From, LastNumber_ + 1);
  if (IsNew)
    Number->second = RelayedBit | ++LastNumber_;
  CallerSessionId Session = Number->second;
  Relayed &Held = Sessions_[Session];
  Held.From = From;
  Held.Statement = Message.Number;
  if (Message.InOpenTransaction && !Held.Pinned) {
    StatementResult Result;
    Result.Answer.Code = StatementCode::Aborted;
    Result.Answer.Detail = "the transaction's connection is lost";
    onFinished(Session, std::move(Result));
    return;
  }
  // The other host has ended the transaction that is open here.
  if (!Message.InOpenTransaction && Held.Pinned) {
    Runner_.rollBack(*Held.Pinned, Now);
    Held.Pinned.reset();
  }
  StatementWork Work = Message.Work;
  Work.Session = Session;
  Work.Pinned = Held.Pinned;
  Work.ReceivedAt = Now;
  Work.Deadline = Now + Message.TimeLeft;
  Held.HasStatement = true;
  if (Work.Pinned)
    Runner_.submit(std::move(Work), Now);
  else
    Admission_.submit(std::move(Work), Now);
}

void RelayedSessions::endSession(const Origin &From, TimePoint Now) {
  auto Number = Numbers_.find(From);
  if (Number == Numbers_.end())
    return;
  CallerSessionId Session = Number->second;
  std::optional<ConnectionId> Pinned = Sessions_.at(Session).Pinned;
  Numbers_.erase(Number);
  Sessions_.erase(Session);
  Admission_.cancel(Session);
  Runner_.cancel(Session, Pinned, Now);
}

void RelayedSessions::onLinkClosed(IncomingRelayId Link, TimePoint Now) {
  HeardAt_.erase(Link);
  std::vector<Origin> Ended;
  for (auto At = Numbers_.lower_bound({Link, 0});
       At != Numbers_.end() && At->first.first == Link; ++At)
    Ended.push_back(At->first);
  for (const Origin &From : Ended)
    endSession(From, Now);
}

bool RelayedSessions::hasSessions(IncomingRelayId Link) const {
  auto First = Numbers_.lower_bound({Link, 0});
  return First != Numbers_.end() && First->first.first == Link;
}

void RelayedSessions::announce() {
  RelayPong Message;
  Message.ConfigurationVersion = Hooks_.Configuration().Version;
  Message.Leaving = Leaving_;
  for (const auto &[Link, At] : HeardAt_)
    Hooks_.Send(Link, Message);
}

void RelayedSessions::beginDrain() {
  Leaving_ = true;
  announce();
}

void RelayedSessions::endTransactions(TimePoint Now) {
  std::vector<CallerSessionId> Idle;
  for (const auto &[Session, Held] : Sessions_)
    if (Held.Pinned && !Held.HasStatement)
      Idle.push_back(Session);
  for (CallerSessionId Session : Idle) {
    Runner_.rollBack(*Sessions_.at(Session).Pinned, Now);
    onTransactionLost(Session);
  }
}

void RelayedSessions::tick(TimePoint Now) {
  std::vector<IncomingRelayId> Unresponsive;
  for (const auto &[Link, At] : HeardAt_)
    if (Now - At > SilenceTimeout && hasSessions(Link))
      Unresponsive.push_back(Link);
  for (IncomingRelayId Link : Unresponsive) {
    Hooks_.Close(Link);
    onLinkClosed(Link, Now);
  }
}

void RelayedSessions::onFinished(CallerSessionId Session,
                                 StatementResult Result) {
  auto Found = Sessions_.find(Session);
  if (Found == Sessions_.end())
    return;
  Relayed &Held = Found->second;
  Held.HasStatement = false;
  Held.Pinned = Result.Pinned;
  IncomingRelayId Link = Held.From.first;
  RelayedResult Message;
  Message.Session = Held.From.second;
  Message.InTransaction = Result.Pinned.has_value();
  Message.Number = Held.Statement;
  Message.Result = std::move(Result);
  forgetIfIdle(Session);
  Hooks_.Send(Link, Message);
}

void RelayedSessions::onTransactionLost(CallerSessionId Session) {
  auto Found = Sessions_.find(Session);
  if (Found == Sessions_.end())
    return;
  Found->second.Pinned.reset();
  Origin From = Found->second.From;
  forgetIfIdle(Session);
  Hooks_.Send(From.first, RelayedTransactionLoss{From.second});
}

/// Removes a session that has no statement and no transaction.
void RelayedSessions::forgetIfIdle(CallerSessionId Session) {
  const Relayed &Held = Sessions_.at(Session);
  if (Held.HasStatement || Held.Pinned)
    return;
  Numbers_.erase(Held.From);
  Sessions_.erase(Session);
}

} // namespace nutmegloom
