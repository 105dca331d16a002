#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_EDITAPPLIER_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_EDITAPPLIER_H

#include "nutmegloomctl/configurationfiles.h"
#include "nutmegloomctl/platformcalls.h"

#include <set>

namespace nutmegloom {

/// What an operator wants to change.
struct RequestedEdit {
  ConfigurationFiles Files;
  /// Sites whose overlays are removed.
  std::set<std::string> RemovedOverlays;
  /// Version that the files are based on. Absent: the version in the store
  /// when the command starts.
  std::optional<std::uint64_t> BasedOn;
  /// No host serves, so that unsafe changes are allowed.
  bool Offline = false;
  std::string EditId;
  std::string Editor;
  std::string EditedAt;
  std::string Comment;
};

enum class ApplyOutcome {
  Done,
  /// The store already holds these files.
  Unchanged,
  Refused,
  /// The platform could not be reached: nothing changed.
  NotReached,
  /// Another edit changed the same file, or every try lost: nothing changed.
  Lost,
  /// The edit may or may not be in force, now or later.
  Unknown,
};
std::string_view nameOf(ApplyOutcome Outcome);

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Unknown;
  /// Version of the edit when it is done, else the last version seen.
  std::uint64_t Version = 0;
  /// "base" and the sites whose overlays changed.
  std::vector<std::string> Changed;
  SettingsErrors Errors;
  std::string Detail;
  /// Updates that were sent.
  int Attempts = 0;
};

/// Puts an edit into the store: one conditional update of the head, checked
/// again on top of another edit when that came first.
class EditApplier {
public:
  EditApplier(PlatformCalls &Platform, RequestedEdit Edit);

  ApplyResult run();

private:
  bool findChanges(const ConfigurationHead &Head);
  bool hasConflict(const StoredHead &Stored, std::uint64_t Since);
  std::optional<std::string> buildHead(const StoredHead &Stored);
  /// True when the history shows all edits from this version on.
  bool historyCovers(const ConfigurationHead &Head,
                     std::uint64_t Version) const;
  std::optional<std::uint64_t> findEdit(const ConfigurationHead &Head) const;
  ApplyResult finish(ApplyOutcome Outcome, std::string Detail);

  PlatformCalls &Platform_;
  RequestedEdit Edit_;
  ApplyResult Result_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_EDITAPPLIER_H
