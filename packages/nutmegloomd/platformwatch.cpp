#include "nutmegloomd/platformwatch.h"

#include "telemetry/events.h"

namespace nutmegloom {

static constexpr Milliseconds HostListInterval{1000};
/// Minimum interval per known host. All hosts together then send at most 1,000
/// reads per second, half of the platform's limit of 2,000.
static constexpr std::chrono::microseconds HostListIntervalPerHost{1000};
static constexpr Milliseconds WatchWait{5000};
static constexpr Milliseconds CallTimeout{2000};

PlatformWatch::PlatformWatch(HostContext &Context, const std::string &Address)
    : Context_(Context),
      Client_(makePlatformClient(Context.Io, Address, CallTimeout)) {}

void PlatformWatch::tick(TimePoint Now) {
  if (HostListInProgress_ || (NextHostListAt_ && Now < *NextHostListAt_))
    return;
  HostListInProgress_ = true;
  // HostListInterval applies up to 1,000 hosts; larger deployments poll less
  // often.
  Duration ScaledInterval =
      HostListIntervalPerHost * Context_.Core->tables().Hosts.size();
  NextHostListAt_ = Now + std::max<Duration>(HostListInterval, ScaledInterval);
  Client_->listHosts(
      [this](const std::variant<std::vector<ListedHost>, PlatformError> &List) {
        onList(List);
      });
}

void PlatformWatch::onList(
    const std::variant<std::vector<ListedHost>, PlatformError> &List) {
  HostListInProgress_ = false;
  if (const auto *Hosts = std::get_if<std::vector<ListedHost>>(&List)) {
    Context_.HostMetrics.countControlMessage(
        "host_list", Hosts->size() * sizeof(ListedHost));
    Context_.Core->membership().onHostList(*Hosts, currentTime());
    if (std::exchange(HostListFailing_, false))
      logEvent(LogEvent::HostListReached, {});
  } else if (!std::exchange(HostListFailing_, true)) {
    logEvent(LogEvent::HostListUnreachable,
             {{"error", nameOf(std::get<PlatformError>(List))}});
  }
  Context_.ScheduleTick();
}

void PlatformWatch::watchHead(std::uint64_t After) {
  Client_->watch(
      "configuration", "head", After, WatchWait,
      [this](const std::variant<PlatformObject, PlatformError> &Head) {
        onHead(Head);
      });
}

void PlatformWatch::onHead(
    const std::variant<PlatformObject, PlatformError> &Head) {
  TimePoint Now = currentTime();
  ConfigurationSystem &Configuration = Context_.Core->configuration();
  const auto *Error = std::get_if<PlatformError>(&Head);
  if (Error && *Error != PlatformError::Unchanged) {
    if (!std::exchange(StoreFailing_, true))
      logEvent(LogEvent::StoreUnreachable, {{"error", nameOf(*Error)}});
    Configuration.onStoreFailed(Now);
    Context_.ScheduleTick();
    return;
  }
  if (std::exchange(StoreFailing_, false))
    logEvent(LogEvent::StoreReached, {});
  Context_.Core->membership().onStoreContact(Now);
  if (const auto *Object = std::get_if<PlatformObject>(&Head)) {
    Context_.HostMetrics.countControlMessage("configuration",
                                             Object->Value.size());
    Configuration.onStoreConfiguration(Object->Version, Object->Value, Now);
  } else {
    Configuration.onStoreUnchanged(Now);
  }
  Context_.ScheduleTick();
}

} // namespace nutmegloom
