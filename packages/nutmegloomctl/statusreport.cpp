#include "nutmegloomctl/statusreport.h"

#include <nlohmann/json.hpp>

namespace nutmegloom {

namespace {

using Json = nlohmann::json;

void addSite(StatusReport &Report, const HostStatus &Host) {
  SiteStatus &Site = Report.Sites[Host.Zone.empty() ? "unknown" : Host.Zone];
  ++Site.Hosts;
  if (Host.Failure.empty())
    Site.Versions.insert(Host.Version);
  else
    ++Site.Unanswered;
}

void addGroups(StatusReport &Report, const HostStatus &Host) {
  for (const HostStatus::Group &Seen : Host.Groups) {
    GroupStatus &Group = Report.Groups[Seen.Id];
    if (Seen.Term < Group.Term)
      continue;
    if (Seen.Term > Group.Term)
      Group = GroupStatus{Seen.Term, {}, ""};
    if (!Seen.Primary.empty())
      Group.Primaries.insert(Seen.Primary);
    if (!Seen.Phase.empty() && Seen.Phase != "idle")
      Group.Phase = Seen.Phase;
  }
}

void addRefusals(StatusReport &Report, const HostStatus &Host) {
  if (Host.RefusedVersion != 0) {
    std::string Line = Host.Name + ": version ";
    Line += std::to_string(Host.RefusedVersion) + " of the configuration";
    if (!Host.RefusedReason.empty())
      Line += ": " + Host.RefusedReason;
    Report.Refused.push_back(std::move(Line));
  }
  for (const auto &[Code, Count] : Host.Refusals) {
    if (Count == 0)
      continue;
    std::string Line = Host.Name + ": ";
    Line += std::to_string(Count) + " requests: ";
    Line += Code;
    Report.Refused.push_back(std::move(Line));
  }
}

} // namespace

HostStatus parseHostStatus(const std::string &Address,
                           const std::string &Body) {
  HostStatus Host;
  Host.Address = Address;
  try {
    const Json Status = Json::parse(Body);
    Host.Name = Status.at("host").get<std::string>();
    Host.Zone = Status.at("zone").get<std::string>();
    Host.State = Status.at("state").get<std::string>();
    const Json &Configuration = Status.at("configuration");
    Host.Version = Configuration.at("version").get<std::uint64_t>();
    Host.Source = Configuration.value("source", std::string());
    Host.RefusedVersion =
        Configuration.value("refused_version", std::uint64_t{0});
    Host.RefusedReason = Configuration.value("refused_reason", std::string());
    for (const Json &Entry : Status.value("groups", Json::array())) {
      HostStatus::Group Group;
      Group.Id = Entry.at("group").get<std::string>();
      Group.Term = Entry.at("term").get<std::uint64_t>();
      const Json Primary = Entry.value("primary", Json());
      if (Primary.is_string())
        Group.Primary = Primary.get<std::string>();
      Group.Phase = Entry.value("phase", std::string());
      Host.Groups.push_back(std::move(Group));
    }
    const Json Refusals = Status.value("refusals", Json::object());
    for (const auto &[Code, Count] : Refusals.items())
      Host.Refusals[Code] = Count.get<std::uint64_t>();
  } catch (const Json::exception &Error) {
    Host = HostStatus();
    Host.Address = Address;
    Host.Failure = std::string("the status can't be read: ") + Error.what();
  }
  return Host;
}

StatusReport summarize(const std::vector<HostStatus> &Hosts) {
  StatusReport Report;
  for (const HostStatus &Host : Hosts) {
    addSite(Report, Host);
    if (!Host.Failure.empty()) {
      Report.Failures.push_back((Host.Name.empty() ? "" : Host.Name + " ") +
                                "at " + Host.Address + ": " + Host.Failure);
      continue;
    }
    addGroups(Report, Host);
    addRefusals(Report, Host);
  }
  return Report;
}

} // namespace nutmegloom
