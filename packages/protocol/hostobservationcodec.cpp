#include "protocol/hostobservationcodec.h"

#include "protocol/hostobservation.capnp.h"
#include "protocol/packedmessage.h"

#include <kj/exception.h>

namespace nutmegloom {

namespace {

constexpr std::int32_t NoAge = -1;
/// Traversal limit of a received message, in words.
constexpr std::uint64_t TraversalLimitWords = std::uint64_t{64} * 1024;

std::int32_t ageField(const std::optional<Milliseconds> &Age) {
  return Age ? static_cast<std::int32_t>(Age->count()) : NoAge;
}

std::optional<Milliseconds> ageOf(std::int32_t Field) {
  if (Field < 0)
    return std::nullopt;
  return Milliseconds{Field};
}

void encodeGroup(wire::HostObservation::Group::Builder To,
                 const GroupObservation &Seen) {
  To.setGroup(Seen.Record.Group);
  To.setRevision(Seen.Record.Revision.Number);
  To.setEra(Seen.Record.Revision.Era);
  // An unchanged record is sent without its leader, since the receiver already
  // has it.
  if (!Seen.Unchanged) {
    To.setLeader(Seen.Record.Leader);
    To.setTerm(Seen.Record.Term);
    To.setPhase(static_cast<std::uint8_t>(Seen.Record.Phase));
    To.setHolder(Seen.Record.Holder);
  }
  To.setConfirmedAge(ageField(Seen.ConfirmedAge));
  To.setLogAge(NoAge);
  if (Seen.LeaderLog) {
    To.setLogTerm(Seen.LeaderLog->Term);
    To.setLogIndex(Seen.LeaderLog->Index);
    To.setLogAge(ageField(Seen.LeaderLogAge));
  }
  To.setAnsweredAge(ageField(Seen.LeaderAnsweredAge));
}

GroupObservation decodeGroup(wire::HostObservation::Group::Reader From) {
  GroupObservation Seen;
  Seen.Record.Group = From.getGroup().cStr();
  Seen.Record.Leader = From.getLeader().cStr();
  Seen.Record.Term = From.getTerm();
  Seen.Record.Phase = From.getPhase() == 0 ? LeadershipPhase::Settled
                                           : LeadershipPhase::Promoting;
  Seen.Record.Holder = From.getHolder().cStr();
  Seen.Unchanged = Seen.Record.Leader.empty();
  Seen.Record.Revision = StoreRevision(From.getRevision(), From.getEra());
  Seen.Record.WrittenInEra = From.getEra();
  Seen.ConfirmedAge = ageOf(From.getConfirmedAge());
  if (std::optional<Milliseconds> Age = ageOf(From.getLogAge())) {
    Seen.LeaderLog = Position{From.getLogTerm(), From.getLogIndex()};
    Seen.LeaderLogAge = *Age;
  }
  Seen.LeaderAnsweredAge = ageOf(From.getAnsweredAge());
  return Seen;
}

HostObservation decodeMessage(wire::HostObservation::Reader From) {
  HostObservation Message;
  Message.Host = From.getHost().cStr();
  Message.Incarnation = From.getIncarnation();
  Message.Address = From.getAddress().cStr();
  Message.Region = From.getRegion().cStr();
  Message.Leaving = From.getLeaving();
  Message.ReachesStore = From.getReachesStore();
  Message.ConfigurationVersion = From.getConfigurationVersion();
  Message.ConfigurationAge = ageOf(From.getConfigurationAge());
  Message.Members = From.getMembers();
  Message.DatabaseListRevision =
      StoreRevision(From.getDatabaseListRevision(), From.getDatabaseListEra());
  Message.SentAt = From.getSentAt();
  Message.EchoIncarnation = From.getEchoIncarnation();
  Message.EchoSentAt = From.getEchoSentAt();
  Message.Lease.Holder = From.getDutyHolder().cStr();
  Message.Lease.Incarnation = From.getDutyIncarnation();
  Message.Lease.Token = From.getDutyToken();
  Message.Lease.Revision =
      StoreRevision(From.getDutyRevision(), From.getDutyEra());
  Message.Lease.WrittenInEra = From.getDutyEra();
  for (auto Group : From.getGroups())
    Message.Groups.push_back(decodeGroup(Group));
  return Message;
}

} // namespace

std::string encodeObservation(const HostObservation &Message) {
  capnp::MallocMessageBuilder Builder;
  auto To = Builder.initRoot<wire::HostObservation>();
  To.setHost(Message.Host);
  To.setIncarnation(Message.Incarnation);
  To.setAddress(Message.Address);
  To.setRegion(Message.Region);
  To.setLeaving(Message.Leaving);
  To.setReachesStore(Message.ReachesStore);
  To.setConfigurationVersion(Message.ConfigurationVersion);
  To.setConfigurationAge(ageField(Message.ConfigurationAge));
  To.setMembers(Message.Members);
  To.setDatabaseListRevision(Message.DatabaseListRevision.Number);
  To.setDatabaseListEra(Message.DatabaseListRevision.Era);
  To.setSentAt(Message.SentAt);
  To.setEchoIncarnation(Message.EchoIncarnation);
  To.setEchoSentAt(Message.EchoSentAt);
  To.setDutyHolder(Message.Lease.Holder);
  To.setDutyIncarnation(Message.Lease.Incarnation);
  To.setDutyToken(Message.Lease.Token);
  To.setDutyRevision(Message.Lease.Revision.Number);
  To.setDutyEra(Message.Lease.Revision.Era);
  auto Groups = To.initGroups(static_cast<unsigned>(Message.Groups.size()));
  for (unsigned At = 0; At < Groups.size(); ++At)
    encodeGroup(Groups[At], Message.Groups[At]);
  return serializePacked(Builder);
}

std::variant<HostObservation, ObservationError>
decodeObservation(std::string_view Bytes) {
  try {
    return readPackedMessage<wire::HostObservation>(Bytes, TraversalLimitWords,
                                                    decodeMessage);
  } catch (const kj::Exception &Error) {
    return ObservationError{Error.getDescription().cStr()};
  }
}

} // namespace nutmegloom
