#include "protocol/peercodec.h"

#include <algorithm>
#include <array>

namespace nutmegloom {

/// Longer durations are clamped, so that adding them to the current time can't
/// overflow.
static constexpr std::uint64_t MaximumMilliseconds =
    Milliseconds(std::chrono::hours(24)).count();

/// Bounds the memory for one heartbeat. Larger than the number of hosts of the
/// largest deployment.
static constexpr unsigned MaximumSummaries = 8192;

static std::string readText(capnp::Text::Reader From) {
  return {From.begin(), From.size()};
}

static capnp::Text::Reader toText(std::string_view Text) {
  // The data of an empty view may be null, but a text must be null-terminated.
  return Text.empty() ? capnp::Text::Reader("")
                      : capnp::Text::Reader(Text.data(), Text.size());
}

static std::uint64_t writeMilliseconds(Duration Span) {
  const auto Count = std::chrono::duration_cast<Milliseconds>(Span).count();
  return Count < 0 ? 0 : static_cast<std::uint64_t>(Count);
}

static Milliseconds readMilliseconds(std::uint64_t Count) {
  return Milliseconds(std::min(Count, MaximumMilliseconds));
}

static void writePosition(const Position &Value, wire::Position::Builder To) {
  To.setTerm(Value.Term);
  To.setIndex(Value.Index);
}

static Position readPosition(wire::Position::Reader From) {
  return {From.getTerm(), From.getIndex()};
}

static std::optional<RequestStep> requestStepOf(std::string_view Name) {
  constexpr std::array Steps{RequestStep::Statement,
                             RequestStep::Begin,
                             RequestStep::TransactionStatement,
                             RequestStep::Commit,
                             RequestStep::Rollback,
                             RequestStep::ResolveOutcome};
  const auto *Found =
      std::find_if(Steps.begin(), Steps.end(),
                   [Name](RequestStep Step) { return nameOf(Step) == Name; });
  if (Found == Steps.end())
    return std::nullopt;
  return *Found;
}

void writePeerMessage(const CallerRequest &Request, TimePoint Now,
                      wire::Request::Builder To) {
  To.setStep(toText(nameOf(Request.Step)));
  To.setGroup(Request.Group);
  To.setKind(toText(nameOf(Request.Kind)));
  To.setStatement(Request.Statement);
  To.setShape(Request.StatementDigest);
  To.setHasMaximumAge(Request.MaximumAge.has_value());
  if (Request.MaximumAge)
    To.setMaximumAgeMs(writeMilliseconds(*Request.MaximumAge));
  To.setHasRequired(Request.Required.has_value());
  if (Request.Required)
    writePosition(*Request.Required, To.initRequired());
  To.setKey(Request.Key);
  To.setFingerprint(Request.Fingerprint);
  To.setTransaction(Request.Transaction);
  To.setWorkClass(Request.WorkClass);
  To.setCaller(Request.Caller);
  To.setRemainingMs(writeMilliseconds(Request.Deadline - Now));
  To.setTraceParent(Request.TraceParent);
}

std::optional<CallerRequest> readPeerMessage(wire::Request::Reader From,
                                             TimePoint Now) {
  const auto Step = requestStepOf(readText(From.getStep()));
  const auto Kind = statementKindOf(readText(From.getKind()));
  if (!Step || !Kind)
    return std::nullopt;
  CallerRequest Request;
  Request.Step = *Step;
  Request.Group = readText(From.getGroup());
  Request.Kind = *Kind;
  Request.Statement = readText(From.getStatement());
  Request.StatementDigest = From.getShape();
  if (From.getHasMaximumAge())
    Request.MaximumAge = readMilliseconds(From.getMaximumAgeMs());
  if (From.getHasRequired())
    Request.Required = readPosition(From.getRequired());
  Request.Key = readText(From.getKey());
  Request.Fingerprint = From.getFingerprint();
  Request.Transaction = readText(From.getTransaction());
  Request.WorkClass = readText(From.getWorkClass());
  Request.Caller = readText(From.getCaller());
  Request.Deadline = Now + readMilliseconds(From.getRemainingMs());
  Request.TraceParent = readText(From.getTraceParent());
  return Request;
}

void writePeerMessage(const CallerAnswer &Answer, wire::Answer::Builder To) {
  To.setOutcome(toText(nameOf(Answer.Result)));
  To.setError(toText(nameOf(Answer.Error)));
  To.setDetail(Answer.Detail);
  To.setBody(Answer.Body);
  To.setHasSeen(Answer.Seen.has_value());
  if (Answer.Seen)
    writePosition(*Answer.Seen, To.initSeen());
  To.setDatabase(Answer.Database);
  To.setAgeMs(writeMilliseconds(Answer.Age));
  To.setReplayed(Answer.Replayed);
  To.setTransaction(Answer.Transaction);
  To.setRetryAfterMs(writeMilliseconds(Answer.RetryAfter));
  To.setRedirectRegion(Answer.RedirectRegion);
  To.setFromReplica(Answer.FromReplica);
}

std::optional<CallerAnswer> readPeerMessage(wire::Answer::Reader From) {
  const auto Result = outcomeOf(readText(From.getOutcome()));
  const auto Error = errorCodeOf(readText(From.getError()));
  if (!Result || !Error)
    return std::nullopt;
  CallerAnswer Answer;
  Answer.Result = *Result;
  Answer.Error = *Error;
  Answer.Detail = readText(From.getDetail());
  Answer.Body = readText(From.getBody());
  if (From.getHasSeen())
    Answer.Seen = readPosition(From.getSeen());
  Answer.Database = readText(From.getDatabase());
  Answer.Age = readMilliseconds(From.getAgeMs());
  Answer.Replayed = From.getReplayed();
  Answer.Transaction = readText(From.getTransaction());
  Answer.RetryAfter = readMilliseconds(From.getRetryAfterMs());
  Answer.RedirectRegion = readText(From.getRedirectRegion());
  Answer.FromReplica = From.getFromReplica();
  return Answer;
}

void writePeerMessage(const PeerHeartbeat &Heartbeat,
                      wire::Heartbeat::Builder To) {
  To.setHost(Heartbeat.Host);
  To.setIncarnation(Heartbeat.Incarnation);
  To.setRegion(Heartbeat.Region);
  To.setZone(Heartbeat.Zone);
  To.setPeerAddress(Heartbeat.PeerAddress);
  To.setState(toText(nameOf(Heartbeat.State)));
  To.setConfigurationVersion(Heartbeat.ConfigurationVersion);
  auto Known = To.initKnown(static_cast<unsigned>(Heartbeat.Known.size()));
  for (unsigned Index = 0; Index < Known.size(); ++Index) {
    const PeerSummary &Summary = Heartbeat.Known[Index];
    Known[Index].setHost(Summary.Host);
    Known[Index].setIncarnation(Summary.Incarnation);
    Known[Index].setRegion(Summary.Region);
    Known[Index].setZone(Summary.Zone);
    Known[Index].setPeerAddress(Summary.PeerAddress);
    Known[Index].setState(toText(nameOf(Summary.State)));
    Known[Index].setConfigurationVersion(Summary.ConfigurationVersion);
    Known[Index].setAgeMs(writeMilliseconds(Summary.Age));
    Known[Index].setSuspected(Summary.Suspected);
  }
}

std::optional<PeerHeartbeat> readPeerMessage(wire::Heartbeat::Reader From) {
  const auto State = hostStateOf(readText(From.getState()));
  if (!State || From.getHost().size() == 0 ||
      From.getKnown().size() > MaximumSummaries)
    return std::nullopt;
  PeerHeartbeat Heartbeat;
  Heartbeat.Host = readText(From.getHost());
  Heartbeat.Incarnation = readText(From.getIncarnation());
  Heartbeat.Region = readText(From.getRegion());
  Heartbeat.Zone = readText(From.getZone());
  Heartbeat.PeerAddress = readText(From.getPeerAddress());
  Heartbeat.State = *State;
  Heartbeat.ConfigurationVersion = From.getConfigurationVersion();
  for (const wire::Summary::Reader Entry : From.getKnown()) {
    // A state that is unknown to this version doesn't invalidate the heartbeat.
    const auto EntryState = hostStateOf(readText(Entry.getState()));
    Heartbeat.Known.push_back(
        {readText(Entry.getHost()), readText(Entry.getIncarnation()),
         readText(Entry.getRegion()), readText(Entry.getZone()),
         readText(Entry.getPeerAddress()),
         EntryState.value_or(HostState::Unknown),
         Entry.getConfigurationVersion(), readMilliseconds(Entry.getAgeMs()),
         Entry.getSuspected()});
  }
  return Heartbeat;
}

} // namespace nutmegloom
