#include "nutmegloomd/statuspage.h"

#include <nlohmann/json.hpp>

namespace nutmegloom {

using Json = nlohmann::ordered_json;

static std::int64_t millisecondsSince(TimePoint Then, TimePoint Now) {
  return std::chrono::duration_cast<Milliseconds>(Now - Then).count();
}

static Json describeMember(const DatabaseEntity &Database, TimePoint Now) {
  Json Member{{"database", Database.Id},
              {"zone", Database.Zone},
              {"reachable", Database.StatusSentAt && !Database.FailingSince},
              {"leaving", Database.Leaving}};
  if (!Database.StatusReceivedAt)
    return Member;
  const DatabaseStatus &Status = Database.Status;
  Member["role"] = nameOf(Status.Role);
  Member["term"] = Status.Term;
  Member["log_term"] = Status.LogTerm;
  Member["received"] = Status.Received;
  Member["applied"] = Status.Applied;
  Member["age_ms"] = Status.Age.count();
  Member["connections"] = Status.Connections;
  Member["status_age_ms"] = millisecondsSince(*Database.StatusReceivedAt, Now);
  return Member;
}

static Json describeGroup(Engine &Core, const GroupEntity &Group,
                          TimePoint Now) {
  Json Entry{{"group", Group.Id},
             {"term", Group.Term},
             {"primary", nullptr},
             {"phase", nameOf(Core.failover().phaseOf(Group.Id))},
             {"active", Group.Active},
             {"waiting", Core.waitingIn(Group)}};
  if (Group.Primary)
    Entry["primary"] = *Group.Primary;
  Json Members = Json::array();
  const auto &Databases = Core.tables().Databases;
  for (const DatabaseId &Id : Group.Members)
    if (auto Found = Databases.find(Id); Found != Databases.end())
      Members.push_back(describeMember(Found->second, Now));
  Entry["members"] = std::move(Members);
  return Entry;
}

static Json describeHost(const HostEntity &Host, TimePoint Now) {
  Json Entry{{"host", Host.Name},
             {"region", Host.Region},
             {"zone", Host.Zone},
             {"peer_address", Host.PeerAddress},
             {"state", nameOf(Host.State)},
             {"suspected", Host.Suspected},
             {"in_list", Host.InList},
             {"configuration_version", Host.ConfigurationVersion}};
  if (Host.LastHeard)
    Entry["last_heard_ms"] = millisecondsSince(*Host.LastHeard, Now);
  return Entry;
}

static Json describeCounters(const EngineCounters &Counters) {
  return {{"requests", Counters.Requests},
          {"reads_from_replica", Counters.ReadsFromReplica},
          {"reads_from_primary", Counters.ReadsFromPrimary},
          {"writes", Counters.Writes},
          {"forwarded", Counters.Forwarded},
          {"redirected", Counters.Redirected},
          {"retries", Counters.Retries},
          {"settled", Counters.Resolved},
          {"refused", Counters.Refused},
          {"stale_answers_dropped", Counters.StaleAnswersDropped},
          {"term_checks_failed", Counters.TermChecksFailed},
          {"promotions", Counters.Promotions}};
}

std::string makeStatusPage(Engine &Core, const StatusDetails &Details,
                           TimePoint Now) {
  const PeerHeartbeat &Self = Core.membership().self();
  const ConfigurationSystem &Configuration = Core.configuration();
  Json Page{{"host", Self.Host},
            {"incarnation", Self.Incarnation},
            {"zone", Self.Zone},
            {"region", Self.Region},
            {"state", nameOf(Self.State)},
            {"ready", Details.NotReadyReason.empty()},
            {"not_ready_reason", Details.NotReadyReason}};
  Json &Version = Page["configuration"];
  Version["version"] = Configuration.version();
  Version["source"] = nameOf(Configuration.source());
  Version["refused_version"] = Configuration.refusedVersion();
  Version["refused_reason"] = Details.RefusedReason;
  Page["groups"] = Json::array();
  for (const auto &[Id, Group] : Core.tables().Groups)
    Page["groups"].push_back(describeGroup(Core, Group, Now));
  Page["hosts"] = Json::array();
  for (const auto &[Name, Host] : Core.tables().Hosts)
    Page["hosts"].push_back(describeHost(Host, Now));
  Page["counters"] = describeCounters(Core.counters());
  Page["refusals"] = Json::object();
  for (const auto &[Code, Count] : Details.Errors)
    Page["refusals"][nameOf(Code)] = Count;
  return Page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace nutmegloom
