#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_EDITAPPLIER_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_EDITAPPLIER_H

#include "nutmegloomctl/configurationfiles.h"
#include "nutmegloomctl/platformcalls.h"

#include <set>

namespace nutmegloom {

/// An edit of the configuration, as requested by an operator.
struct RequestedEdit {
  ConfigurationFiles Files;
  /// Sites whose overlays are removed.
  std::set<std::string> RemovedOverlays;
  /// Version that the files are based on. Absent: the version in the store
  /// when the command starts.
  std::optional<std::uint64_t> BasedOn;
  /// No host is serving, so the checks that keep a change safe for serving
  /// hosts are skipped.
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
  /// The platform could not be reached; nothing was changed.
  Unreachable,
  /// A concurrent edit changed the same file, or every update lost against
  /// other edits; nothing was changed.
  Conflict,
  /// The edit may have been applied, or may still be.
  Unknown,
};
std::string_view nameOf(ApplyOutcome Outcome);

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Unknown;
  /// Version of the edit if Outcome is Done, else the last version read.
  std::uint64_t Version = 0;
  /// "base" and the sites whose overlays changed.
  std::vector<std::string> Changed;
  SettingsErrors Errors;
  std::string Detail;
  /// Number of updates sent to the store.
  int Attempts = 0;
};

/// Applies an edit to the head in the store by a conditional update. If a
/// concurrent edit was applied first, the edit is rebuilt on top of it and
/// checked again.
class EditApplier {
public:
  EditApplier(PlatformCalls &Platform, RequestedEdit Edit);

  ApplyResult run();

private:
  bool findChanges(const ConfigurationHead &Head);
  bool hasConflict(const StoredHead &Stored, std::uint64_t Since);
  std::optional<std::string> buildHead(const StoredHead &Stored);
  /// Returns true if the history holds all edits from this version on.
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
