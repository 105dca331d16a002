#ifndef NUTMEGLOOM_BENCH_POLICY_NUTMEGLOOMSYSTEM_H
#define NUTMEGLOOM_BENCH_POLICY_NUTMEGLOOMSYSTEM_H

#include "bench/policy/sessions.h"
#include "core/engine.h"

#include <map>
#include <set>

namespace nutmegloom {

/// The decision library as one owner of all groups, over the fakes.
class NutmegloomSystem : public System {
public:
  NutmegloomSystem(EventQueue &Events, FakeService &Service);

  void prepare() override;
  void submit(const WorkItem &Item, DoneFunction Done) override;

private:
  struct Pending {
    WorkItem Item;
    WorkResult Result;
    std::uint64_t Required = 0;
    DoneFunction Done;
  };
  struct Address {
    std::uint32_t Group = 0;
    std::uint32_t Member = 0;
  };

  EngineHooks makeHooks();
  SiteConfiguration makeSiteConfiguration() const;
  void answer(TaskId Task, const CallerAnswer &Answer);
  void send(ConnectionId Connection, const DatabaseRequest &Request);
  void execute(ConnectionId Connection, const DatabaseRequest &Request);
  void poll(const DatabaseId &Database, std::uint64_t After, Milliseconds Wait);
  void sendStatus(const DatabaseId &Database, std::uint64_t After,
                  TimePoint SentAt, TimePoint Until);
  void scheduleTick();
  void afterInput();

  EventQueue &Events_;
  FakeService &Service_;
  std::map<DatabaseId, Address> Addresses_;
  std::map<ConnectionId, Address> Connections_;
  /// Exchanges that each database has received and not answered.
  std::map<DatabaseId, std::set<ExchangeId>> Executing_;
  std::map<TaskId, Pending> Pending_;
  Sessions Sessions_;
  TaskId NextTask_ = 1;
  std::uint64_t NextIdentifier_ = 1;
  std::unique_ptr<Engine> Engine_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_NUTMEGLOOMSYSTEM_H
