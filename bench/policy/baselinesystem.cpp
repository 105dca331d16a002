#include "bench/policy/baselinesystem.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace nutmegloom {

static constexpr std::size_t Hosts = 9;

BaselineSystem::BaselineSystem(EventQueue &Events, FakeService &Service,
                               bool RandomReads)
    : Events_(Events), Service_(Service), RandomReads_(RandomReads),
      SharePerHost_(std::max<std::uint32_t>(
          1, Service.Size.Slots / static_cast<std::uint32_t>(Hosts))),
      Shares_(Hosts * Service.Databases.size()) {}

void BaselineSystem::submit(const WorkItem &Item, DoneFunction Done) {
  const std::size_t Host = Random_() % Hosts;
  const auto Picked = static_cast<std::uint32_t>(Random_() % 3);
  const bool Read = Item.Kind == StatementKind::Read;
  const std::uint32_t Member = Read && RandomReads_ ? Picked : 0;
  Waiting Work{Item, {}, Sessions_.required(Item), std::move(Done)};
  Work.Result.ReplicaAllowed =
      Read && isReplicaAllowed(Service_, Item, Work.Required);
  const std::size_t Index =
      Host * Service_.Databases.size() + Item.Group * 3UL + Member;
  Shares_[Index].Queue.push_back(std::move(Work));
  startNext(Index, Item.Group, Member);
}

void BaselineSystem::startNext(std::size_t ShareIndex, std::uint32_t Group,
                               std::uint32_t Member) {
  Share &Own = Shares_[ShareIndex];
  if (Own.Running >= SharePerHost_ || Own.Queue.empty())
    return;
  ++Own.Running;
  const auto Work = std::make_shared<Waiting>(std::move(Own.Queue.front()));
  Own.Queue.pop_front();
  const Duration Latency = Service_.latency();
  Events_.after(Latency, [=, this] {
    FakeDatabase &Database = Service_.database(Group, Member);
    Database.run(Work->Item.WorkMilliseconds, [=, this] {
      finish(*Work, Group, Member);
      Events_.after(Latency, [=, this] {
        --Shares_[ShareIndex].Running;
        Work->Result.Answered = true;
        Work->Result.AnsweredAt = Events_.now();
        Work->Done(Work->Result);
        startNext(ShareIndex, Group, Member);
      });
    });
  });
}

void BaselineSystem::finish(Waiting &Work, std::uint32_t Group,
                            std::uint32_t Member) {
  FakeDatabase &Database = Service_.database(Group, Member);
  if (Work.Item.Kind == StatementKind::Write) {
    Sessions_.acknowledge(Work.Item, Database.log().append(Events_.now()));
    return;
  }
  Work.Result.FromReplica = Member != 0;
  Work.Result.Violation = !isFreshEnough(Database, Work.Item, Work.Required);
}

} // namespace nutmegloom
