#include "protocol/relaycodec.h"

#include "protocol/packedmessage.h"
#include "protocol/relay.capnp.h"

#include <kj/exception.h>

#include <algorithm>
#include <cmath>

namespace nutmegloom {

namespace {

using Wire = wire::RelayMessage;

/// Traversal limit of a received message, in words.
constexpr std::uint64_t TraversalLimitWords = std::uint64_t{8} * 1024 * 1024;
constexpr std::uint8_t OpensNothing = 0;
constexpr std::uint8_t OpensWriting = 1;
constexpr std::uint8_t OpensReading = 2;

/// Texts may contain null bytes, so their length is taken from the message.
std::string textOf(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

capnp::Text::Reader readerOf(const std::string &Text) {
  return {Text.c_str(), Text.size()};
}

std::uint8_t opensField(const std::optional<CommandVerb> &Opens) {
  if (!Opens)
    return OpensNothing;
  return *Opens == CommandVerb::BeginRead ? OpensReading : OpensWriting;
}

std::optional<CommandVerb> opensOf(std::uint8_t Field) {
  if (Field == OpensNothing)
    return std::nullopt;
  return Field == OpensReading ? CommandVerb::BeginRead : CommandVerb::Begin;
}

void encodePosition(Wire::LogPosition::Builder To, const Position &From) {
  To.setTerm(From.Term);
  To.setIndex(From.Index);
}

Position positionOf(Wire::LogPosition::Reader From) {
  return {From.getTerm(), From.getIndex()};
}

/// Converts a received number to its enumerator. Throws RelayError if it is
/// out of range.
template <typename Enum> Enum enumeratorOf(std::uint8_t Field, Enum Last) {
  if (Field > static_cast<std::uint8_t>(Last))
    throw RelayError{"enumerator out of range"};
  return static_cast<Enum>(Field);
}

/// Hosts of earlier versions prepare and execute the statement by this name.
std::string nameForEarlierHosts(const PreparedShape &Prepared) {
  return (Prepared.Access == StatementKind::Read ? "r_" : "w_") +
         Prepared.Shape;
}

void encodeWork(Wire::Work::Builder To, const RelayedStatement &Message) {
  const StatementWork &Work = Message.Work;
  To.setSession(Work.Session);
  To.setNumber(Message.Number);
  To.setGroup(readerOf(Work.Group));
  To.setId(readerOf(Work.Command.Id));
  To.setText(readerOf(Work.Command.Text));
  if (Work.Prepared) {
    To.setPreparedName(nameForEarlierHosts(*Work.Prepared));
    To.setPreparedShape(readerOf(Work.Prepared->Shape));
    To.setPreparedWrites(Work.Prepared->Access == StatementKind::Write);
  }
  auto Values = To.initValues(static_cast<unsigned>(Work.Variables.size()));
  unsigned At = 0;
  for (const auto &[Name, Value] : Work.Variables) {
    Values[At].setName(readerOf(Name));
    Values[At].setText(readerOf(Value));
    ++At;
  }
  To.setNeedsLeader(Work.NeedsLeader);
  To.setWrites(Work.Writes);
  To.setRepeatable(Work.Repeatable);
  To.setMaximumAge(Work.MaximumAge.count());
  if (Work.LastWrite)
    encodePosition(To.initOwnWrite(), *Work.LastWrite);
  To.setOpens(opensField(Work.Opens));
  To.setEndsTransaction(Work.EndsTransaction);
  To.setInOpenTransaction(Message.InOpenTransaction);
  To.setPriority(Work.Priority);
  To.setTimeLeft(Message.TimeLeft.count());
  To.setAccount(readerOf(Work.Account));
  To.setConfigurationVersion(Work.ConfigurationVersion);
  To.setAdmitted(Work.Admitted);
}

RelayedStatement decodeWork(Wire::Work::Reader From) {
  RelayedStatement Message;
  StatementWork &Work = Message.Work;
  Work.Session = From.getSession();
  Message.Number = From.getNumber();
  Work.Group = textOf(From.getGroup());
  Work.Command.Id = textOf(From.getId());
  Work.Command.Text = textOf(From.getText());
  if (From.getPreparedName().size() > 0) {
    StatementKind Access =
        From.getPreparedWrites() ? StatementKind::Write : StatementKind::Read;
    Work.Prepared = {Access, textOf(From.getPreparedShape())};
  }
  for (auto Value : From.getValues())
    Work.Variables[textOf(Value.getName())] = textOf(Value.getText());
  Work.NeedsLeader = From.getNeedsLeader();
  Work.Writes = From.getWrites();
  Work.Repeatable = From.getRepeatable();
  Work.MaximumAge = Milliseconds{From.getMaximumAge()};
  if (From.hasOwnWrite())
    Work.LastWrite = positionOf(From.getOwnWrite());
  Work.Opens = opensOf(From.getOpens());
  Work.EndsTransaction = From.getEndsTransaction();
  Message.InOpenTransaction = From.getInOpenTransaction();
  Work.Priority = From.getPriority();
  Message.TimeLeft = Milliseconds{From.getTimeLeft()};
  Work.Account = textOf(From.getAccount());
  Work.ConfigurationVersion = From.getConfigurationVersion();
  Work.Admitted = From.getAdmitted();
  return Message;
}

void encodeResult(Wire::Result::Builder To, const RelayedResult &Message) {
  const StatementResult &Result = Message.Result;
  const StatementAnswer &Answer = Result.Answer;
  To.setSession(Message.Session);
  To.setNumber(Message.Number);
  To.setCode(static_cast<std::uint8_t>(Answer.Code));
  auto Rows = To.initRows(static_cast<unsigned>(Answer.Rows.size()));
  for (unsigned At = 0; At < Rows.size(); ++At)
    Rows.set(At, readerOf(Answer.Rows[At]));
  To.setSignature(readerOf(Answer.Signature));
  To.setDetail(readerOf(Answer.Detail));
  To.setState(static_cast<std::uint8_t>(Answer.State));
  if (Answer.Log)
    encodePosition(To.initLog(), *Answer.Log);
  To.setDatabase(readerOf(Result.Database));
  To.setInTransaction(Message.InTransaction);
  To.setOwnWriteLost(Result.LastWriteLost);
  To.setRetryAfter(Result.RetryAfter.count());
  if (Result.MinimumPosition)
    encodePosition(To.initFloor(), *Result.MinimumPosition);
  if (Result.LeadershipAge)
    To.setLeadershipAge(Result.LeadershipAge->count());
  To.setAttempts(Result.Attempts);
}

RelayedResult decodeResult(Wire::Result::Reader From) {
  RelayedResult Message;
  StatementResult &Result = Message.Result;
  StatementAnswer &Answer = Result.Answer;
  Message.Session = From.getSession();
  Message.Number = From.getNumber();
  Answer.Code = enumeratorOf(From.getCode(), StatementCode::Denied);
  for (auto Row : From.getRows())
    Answer.Rows.push_back(textOf(Row));
  Answer.Signature = textOf(From.getSignature());
  Answer.Detail = textOf(From.getDetail());
  Answer.State = enumeratorOf(From.getState(), TransactionStatus::Failed);
  if (From.hasLog())
    Answer.Log = positionOf(From.getLog());
  Result.Database = textOf(From.getDatabase());
  Message.InTransaction = From.getInTransaction();
  Result.LastWriteLost = From.getOwnWriteLost();
  Result.RetryAfter = Milliseconds{From.getRetryAfter()};
  if (From.hasFloor())
    Result.MinimumPosition = positionOf(From.getFloor());
  if (From.getLeadershipAge() >= 0)
    Result.LeadershipAge = Milliseconds{From.getLeadershipAge()};
  Result.Attempts = From.getAttempts();
  return Message;
}

void encodeAccount(Wire::Account::Builder To, const AccountSettings &From) {
  To.setName(readerOf(From.Account));
  auto Keys = To.initKeys(static_cast<unsigned>(From.Keys.size()));
  unsigned At = 0;
  for (const KeyDigest &Key : From.Keys)
    Keys.set(At++, capnp::Data::Reader(Key.data(), Key.size()));
  To.setIsLimited(From.Quota.has_value());
  if (!From.Quota)
    return;
  To.setOperationsPerSecond(From.Quota->OperationsPerSecond);
  To.setBurst(From.Quota->Burst);
}

AccountSettings accountOf(Wire::Account::Reader From) {
  AccountSettings Account;
  Account.Account = textOf(From.getName());
  for (auto Bytes : From.getKeys()) {
    KeyDigest Key{};
    if (Bytes.size() != Key.size())
      throw RelayError{"digest of another length"};
    std::copy(Bytes.begin(), Bytes.end(), Key.begin());
    Account.Keys.insert(Key);
  }
  if (From.getIsLimited())
    Account.Quota = {From.getOperationsPerSecond(), From.getBurst()};
  return Account;
}

void encodeQuota(Wire::Quota::Builder To, const AccountName &Account,
                 double Tokens, std::uint64_t Number) {
  To.setAccount(readerOf(Account));
  To.setTokens(Tokens);
  To.setNumber(Number);
}

/// Reads a QuotaRequest or a QuotaGrant. Throws RelayError for a number that
/// counts no tokens.
template <typename Message> Message quotaOf(Wire::Quota::Reader From) {
  double Tokens = From.getTokens();
  if (!std::isfinite(Tokens) || Tokens < 0)
    throw RelayError{"number of tokens out of range"};
  return {textOf(From.getAccount()), Tokens, From.getNumber()};
}

void encodeConfiguration(Wire::Configuration::Builder To,
                         const SessionConfiguration &From) {
  To.setVersion(From.Version);
  To.setTransactionIdleTimeout(From.TransactionIdleTimeout.count());
  auto Routes = To.initRoutes(static_cast<unsigned>(From.Routes.size()));
  unsigned At = 0;
  for (const auto &[Name, Route] : From.Routes) {
    auto Entry = Routes[At++];
    Entry.setDatabase(readerOf(Name));
    Entry.setGroup(readerOf(Route.Group));
    Entry.setMode(static_cast<std::uint8_t>(Route.Mode));
    Entry.setStatementTimeout(Route.StatementTimeout.count());
    Entry.setTargetLatency(Route.TargetLatency.count());
    Entry.setPriority(Route.Priority);
    Entry.setMaximumAge(Route.MaximumAge.count());
    Entry.setIsPublic(Route.Public);
  }
  auto Groups = To.initGroups(static_cast<unsigned>(From.Groups.size()));
  At = 0;
  for (const auto &[Name, Group] : From.Groups) {
    auto Entry = Groups[At++];
    Entry.setGroup(readerOf(Name));
    Entry.setConnectionCap(Group.ConnectionCap);
    Entry.setSynchronousReplicas(Group.SynchronousReplicas);
  }
  To.setRequiresKeys(From.RequiresKeys);
  auto Accounts = To.initAccounts(static_cast<unsigned>(From.Accounts.size()));
  At = 0;
  for (const auto &[Name, Account] : From.Accounts)
    encodeAccount(Accounts[At++], Account);
}

SessionConfiguration decodeConfiguration(Wire::Configuration::Reader From) {
  SessionConfiguration Read;
  Read.Version = From.getVersion();
  Read.TransactionIdleTimeout = Milliseconds{From.getTransactionIdleTimeout()};
  for (auto Entry : From.getRoutes()) {
    SessionRoute Route;
    Route.Database = textOf(Entry.getDatabase());
    Route.Group = textOf(Entry.getGroup());
    Route.Mode = enumeratorOf(Entry.getMode(), ConsistencyMode::ReadYourWrites);
    Route.StatementTimeout = Milliseconds{Entry.getStatementTimeout()};
    Route.TargetLatency = Milliseconds{Entry.getTargetLatency()};
    Route.Priority = Entry.getPriority();
    Route.MaximumAge = Milliseconds{Entry.getMaximumAge()};
    Route.Public = Entry.getIsPublic();
    std::string Name = Route.Database;
    Read.Routes.emplace(std::move(Name), std::move(Route));
  }
  for (auto Entry : From.getGroups()) {
    GroupSettings Group{textOf(Entry.getGroup()), Entry.getConnectionCap(),
                        Entry.getSynchronousReplicas()};
    GroupId Name = Group.Group;
    Read.Groups.emplace(std::move(Name), std::move(Group));
  }
  Read.RequiresKeys = From.getRequiresKeys();
  for (auto Entry : From.getAccounts()) {
    AccountSettings Account = accountOf(Entry);
    AccountName Name = Account.Account;
    Read.Accounts.emplace(std::move(Name), std::move(Account));
  }
  return Read;
}

/// Visitor that encodes each type of message.
struct Encoder {
  Wire::Builder To;

  void operator()(const RelayedStatement &Message) {
    encodeWork(To.initWork(), Message);
  }
  void operator()(const RelayedCancel &Message) { To.setEnd(Message.Session); }
  void operator()(const RelayedResult &Message) {
    encodeResult(To.initResult(), Message);
  }
  void operator()(const RelayedTransactionLoss &Message) {
    To.setLoss(Message.Session);
  }
  void operator()(const RelayPing &Message) {
    if (Message.Number == 0)
      To.setPing();
    else
      To.setNumberedPing(Message.Number);
  }
  void operator()(const QuotaRequest &Message) {
    encodeQuota(To.initQuotaRequest(), Message.Account, Message.Tokens,
                Message.Number);
  }
  void operator()(const QuotaGrant &Message) {
    encodeQuota(To.initQuotaGrant(), Message.Account, Message.Tokens,
                Message.Number);
  }
  void operator()(const ConfigurationRequest &) {
    To.setConfigurationRequest();
  }
  void operator()(const SessionConfiguration &Message) {
    encodeConfiguration(To.initConfiguration(), Message);
  }
  void operator()(const RelayPong &Message) {
    auto Pong = To.initPong();
    Pong.setConfigurationVersion(Message.ConfigurationVersion);
    Pong.setLeaving(Message.Leaving);
    Pong.setPingNumber(Message.PingNumber);
    if (Message.ConfigurationAge)
      Pong.setConfigurationAge(Message.ConfigurationAge->count());
  }
};

RelayPong decodePong(Wire::Pong::Reader From) {
  RelayPong Message;
  Message.ConfigurationVersion = From.getConfigurationVersion();
  Message.Leaving = From.getLeaving();
  Message.PingNumber = From.getPingNumber();
  if (From.getConfigurationAge() >= 0)
    Message.ConfigurationAge = Milliseconds{From.getConfigurationAge()};
  return Message;
}

RelayMessage decodeMessage(Wire::Reader From) {
  switch (From.which()) {
  case Wire::WORK:
    return decodeWork(From.getWork());
  case Wire::END:
    return RelayedCancel{From.getEnd()};
  case Wire::RESULT:
    return decodeResult(From.getResult());
  case Wire::LOSS:
    return RelayedTransactionLoss{From.getLoss()};
  case Wire::PING:
    return RelayPing{};
  case Wire::CONFIGURATION_REQUEST:
    return ConfigurationRequest{};
  case Wire::CONFIGURATION:
    return decodeConfiguration(From.getConfiguration());
  case Wire::PONG:
    return decodePong(From.getPong());
  case Wire::NUMBERED_PING:
    return RelayPing{From.getNumberedPing()};
  case Wire::QUOTA_REQUEST:
    return quotaOf<QuotaRequest>(From.getQuotaRequest());
  case Wire::QUOTA_GRANT:
    return quotaOf<QuotaGrant>(From.getQuotaGrant());
  }
  throw RelayError{"unknown message type"};
}

} // namespace

std::string encodeRelayMessage(const RelayMessage &Message) {
  capnp::MallocMessageBuilder Builder;
  std::visit(Encoder{Builder.initRoot<Wire>()}, Message);
  return serializePacked(Builder);
}

std::variant<RelayMessage, RelayError>
decodeRelayMessage(std::string_view Bytes) {
  try {
    return readPackedMessage<Wire>(Bytes, TraversalLimitWords, decodeMessage);
  } catch (const kj::Exception &Error) {
    return RelayError{Error.getDescription().cStr()};
  } catch (const RelayError &Error) {
    return Error;
  }
}

} // namespace nutmegloom
