#include "bench/policy/run.h"

#include "bench/policy/baselinesystem.h"
#include "bench/policy/nutmegloomsystem.h"

namespace nutmegloom {

/// Time after the last arrival for the answers that are still to come.
static constexpr Milliseconds Tail{10000};
/// Time for the first connections and statuses.
static constexpr Milliseconds Preparation{1000};

std::unique_ptr<System> makeSystem(SystemKind Kind, EventQueue &Events,
                                   FakeService &Service) {
  if (Kind == SystemKind::Nutmegloom)
    return std::make_unique<NutmegloomSystem>(Events, Service);
  return std::make_unique<BaselineSystem>(Events, Service,
                                          Kind == SystemKind::RandomReads);
}

static void count(RunFigures &Figures, const WorkItem &Item,
                  const WorkResult &Result) {
  ++Figures.Requests;
  Figures.Refused += Result.Refused ? 1 : 0;
  if (Item.Kind == StatementKind::Read) {
    ++Figures.Reads;
    Figures.AllowedReads += Result.ReplicaAllowed ? 1 : 0;
  }
  if (!Result.Answered)
    return;
  if (Item.Kind == StatementKind::Read) {
    Figures.ReplicaReads += Result.FromReplica ? 1 : 0;
    Figures.AllowedFromReplica +=
        Result.ReplicaAllowed && Result.FromReplica ? 1 : 0;
    Figures.Violations += Result.Violation ? 1 : 0;
  }
  const double Time = toMilliseconds(Result.AnsweredAt - Item.Arrival);
  if (Result.AnsweredAt <= Item.Arrival + Item.Timeout) {
    ++Figures.Good;
    Figures.Goodput += Item.WorkMilliseconds;
  }
  if (Item.Straggler) {
    Figures.Straggler.add(Time);
    return;
  }
  Figures.ByClass[Item.ClassIndex].add(Time);
  Figures.ShortWait.add(Time - Item.WorkMilliseconds);
}

RunFigures runPolicy(SystemKind Kind, const DeploymentSize &Size,
                     const WorkloadOptions &Options) {
  EventQueue Events;
  FakeService Service(Events, Size, Options);
  const std::unique_ptr<System> Subject = makeSystem(Kind, Events, Service);
  Subject->prepare();
  Events.runUntil(Events.now() + Preparation);

  RunFigures Figures;
  Figures.ByClass.resize(Size.Classes.size());
  const TimePoint Start = Events.now();
  const TimePoint Counted = Start + Options.WarmUp;
  for (const WorkItem &Item : makeWorkload(Size, Options, Start)) {
    Events.runUntil(Item.Arrival);
    Subject->submit(Item, [&Figures, Item, Counted](const WorkResult &Result) {
      if (Item.Arrival >= Counted)
        count(Figures, Item, Result);
    });
  }
  Events.runUntil(Start + Options.Length + Tail);

  const double Slots = 3.0 * Size.Groups * Size.Slots;
  const double Span =
      static_cast<double>((Options.Length - Options.WarmUp).count());
  Figures.Goodput /= Slots * Span;
  return Figures;
}

} // namespace nutmegloom
