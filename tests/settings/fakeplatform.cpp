#include "tests/settings/fakeplatform.h"

#include <cppunit/TestAssert.h>

namespace nutmegloom {

void FakePlatform::get(const std::string &, const std::string &,
                       ObjectHandler Handler) {
  const std::size_t Number = Reads++;
  if (Number >= FailReadsFrom && Number - FailReadsFrom < FailReadsCount)
    Handler(PlatformError::NotReached);
  else
    Handler(Stored);
}

void FakePlatform::put(const std::string &, const std::string &,
                       std::uint64_t Expected, const std::string &Value,
                       ObjectHandler Handler) {
  ++Puts;
  PutFault Fault;
  if (!PutFaults.empty()) {
    Fault = PutFaults.front();
    PutFaults.pop_front();
  }
  if (Fault.Before)
    Fault.Before();
  if (Fault.NotReached) {
    Handler(PlatformError::NotReached);
    return;
  }
  if (Fault.Delayed) {
    Delayed_.emplace_back(Expected, Value);
    Handler(PlatformError::NoAnswer);
    return;
  }
  const bool Updated = update(Expected, Value);
  if (Fault.LoseAnswer)
    Handler(PlatformError::NoAnswer);
  else if (Updated)
    Handler(Stored);
  else
    Handler(PlatformError::ConditionFailed);
}

void FakePlatform::watch(const std::string &, const std::string &,
                         std::uint64_t, Milliseconds, ObjectHandler Handler) {
  Handler(PlatformError::Unchanged);
}

void FakePlatform::listHosts(ListHandler Handler) { Handler(Hosts); }

void FakePlatform::deliverDelayed() {
  for (const auto &[Expected, Value] : Delayed_)
    update(Expected, Value);
  Delayed_.clear();
}

ConfigurationHead FakePlatform::head() const {
  const auto Head = parseHead(Stored.Value);
  CPPUNIT_ASSERT(std::holds_alternative<ConfigurationHead>(Head));
  return std::get<ConfigurationHead>(Head);
}

PlatformCalls FakePlatform::calls() {
  return {*this, {[] {}, [](Milliseconds) {}}};
}

bool FakePlatform::update(std::uint64_t Expected, const std::string &Value) {
  if (Stored.Version != Expected)
    return false;
  Stored = {Stored.Version + 1, Value};
  return true;
}

RequestedEdit overlayEdit(const std::string &EditId, const std::string &Site,
                          const std::string &Text) {
  RequestedEdit Edit;
  Edit.Files.Overlays[Site] = Text;
  Edit.EditId = EditId;
  Edit.Editor = "ana";
  Edit.EditedAt = "2026-01-01T00:00:00Z";
  return Edit;
}

RequestedEdit baseEdit(const std::string &EditId, const std::string &Text) {
  RequestedEdit Edit = overlayEdit(EditId, "", "");
  Edit.Files.Overlays.clear();
  Edit.Files.Base = Text;
  return Edit;
}

} // namespace nutmegloom
