#include "nutmegloomctl/editapplier.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// Maximum number of times that the head is read. An update loses only if
/// another edit was applied first, which rarely happens twice among operators.
/// The limit ends the command if scripts edit in a loop or the store does not
/// answer.
constexpr int MaximumAttempts = 12;
constexpr std::size_t MaximumHistoryEntries = 50;
/// The store limits values to 1 MB.
constexpr std::size_t MaximumHeadBytes = 1000000;
constexpr Milliseconds InitialBackoff{100};
constexpr Milliseconds MaximumBackoff{2000};

Milliseconds backoffOf(int Attempt) {
  return std::min(MaximumBackoff, InitialBackoff * (1 << std::min(Attempt, 5)));
}

} // namespace

std::string_view nameOf(ApplyOutcome Outcome) {
  switch (Outcome) {
  case ApplyOutcome::Done:
    return "done";
  case ApplyOutcome::Unchanged:
    return "unchanged";
  case ApplyOutcome::Refused:
    return "refused";
  case ApplyOutcome::Unreachable:
    return "not_reached";
  case ApplyOutcome::Conflict:
    return "lost";
  case ApplyOutcome::Unknown:
    return "unknown";
  }
  return "invalid";
}

EditApplier::EditApplier(PlatformCalls &Platform, RequestedEdit Edit)
    : Platform_(Platform), Edit_(std::move(Edit)) {}

ApplyResult EditApplier::run() {
  // Version of the head that an update without an answer was to replace.
  std::optional<std::uint64_t> Pending;
  std::optional<std::uint64_t> Since = Edit_.BasedOn;
  bool FoundChanges = false;

  for (int Attempt = 0; Attempt < MaximumAttempts; ++Attempt) {
    const auto Read = Platform_.readHead();
    if (const auto *Failure = std::get_if<HeadReadError>(&Read)) {
      if (!Failure->Errors.empty()) {
        Result_.Errors = Failure->Errors;
        return finish(Pending ? ApplyOutcome::Unknown : ApplyOutcome::Refused,
                      "the store's head can't be read as a configuration");
      }
      if (!Pending)
        return finish(ApplyOutcome::Unreachable,
                      "the head could not be read: " +
                          std::string(nameOf(*Failure->Reason)));
      Platform_.pause(backoffOf(Attempt));
      continue;
    }
    const auto &Stored = std::get<StoredHead>(Read);
    Result_.Version = Stored.Version;
    if (const auto Version = findEdit(Stored.Head)) {
      Result_.Version = *Version;
      return finish(ApplyOutcome::Done, "");
    }
    // Once the store holds another edit on top of version Pending, the
    // condition of the unanswered update can no longer be met.
    if (Pending && Stored.Version > *Pending &&
        !historyCovers(Stored.Head, *Pending + 1))
      return finish(ApplyOutcome::Unknown,
                    "the history no longer shows whether the edit was applied");
    if (Pending && Stored.Version > *Pending)
      Pending.reset();

    if (Edit_.BasedOn && *Edit_.BasedOn > Stored.Version)
      return finish(ApplyOutcome::Refused,
                    "the files can't be based on version " +
                        std::to_string(*Edit_.BasedOn) +
                        "; the latest version is " +
                        std::to_string(Stored.Version));
    if (!FoundChanges) {
      if (!findChanges(Stored.Head))
        return finish(ApplyOutcome::Unchanged, "");
      FoundChanges = true;
    }
    if (!Since)
      Since = Stored.Version;
    if (hasConflict(Stored, *Since))
      return finish(ApplyOutcome::Conflict, Result_.Detail);
    const auto Text = buildHead(Stored);
    if (!Text)
      return finish(Pending ? ApplyOutcome::Unknown : ApplyOutcome::Refused,
                    Result_.Detail);

    ++Result_.Attempts;
    const auto Written = Platform_.writeHead(Stored.Version, *Text);
    if (const auto *Version = std::get_if<std::uint64_t>(&Written)) {
      Result_.Version = *Version;
      return finish(ApplyOutcome::Done, "");
    }
    const auto Error = std::get<PlatformError>(Written);
    if (Error == PlatformError::ConditionFailed)
      continue;
    if (Error == PlatformError::Unreachable && !Pending)
      return finish(ApplyOutcome::Unreachable,
                    "the update could not be sent: not_reached");
    // The update may have been applied, or may still be. Once the version after
    // Pending exists, the next read shows whose edit it is. Until then the same
    // update is sent again; its condition lets it take effect at most once.
    Pending = Stored.Version;
    Platform_.pause(backoffOf(Attempt));
  }
  if (Pending)
    return finish(ApplyOutcome::Unknown,
                  "the store did not confirm whether edit " + Edit_.EditId +
                      " was applied; look for it with the history command");
  return finish(ApplyOutcome::Conflict, "other edits were applied first in " +
                                            std::to_string(Result_.Attempts) +
                                            " tries");
}

bool EditApplier::findChanges(const ConfigurationHead &Head) {
  auto &Files = Edit_.Files;
  if (Files.Base && *Files.Base == Head.Base)
    Files.Base.reset();
  for (auto File = Files.Overlays.begin(); File != Files.Overlays.end();) {
    const auto Present = Head.Overlays.find(File->first);
    const bool Same =
        Present != Head.Overlays.end() && Present->second == File->second;
    File = Same ? Files.Overlays.erase(File) : std::next(File);
  }
  std::erase_if(Edit_.RemovedOverlays, [&Head](const std::string &Site) {
    return Head.Overlays.count(Site) == 0;
  });
  if (Files.Base)
    Result_.Changed.emplace_back("base");
  for (const auto &[Site, Text] : Files.Overlays)
    Result_.Changed.push_back(Site);
  Result_.Changed.insert(Result_.Changed.end(), Edit_.RemovedOverlays.begin(),
                         Edit_.RemovedOverlays.end());
  return !Result_.Changed.empty();
}

bool EditApplier::hasConflict(const StoredHead &Stored, std::uint64_t Since) {
  if (Stored.Version <= Since)
    return false;
  for (const ConfigurationEdit &Other : Stored.Head.History) {
    if (Other.Version <= Since)
      continue;
    for (const std::string &Name : Other.Changed) {
      if (std::find(Result_.Changed.begin(), Result_.Changed.end(), Name) ==
          Result_.Changed.end())
        continue;
      Result_.Detail = "\"" + Name + "\" was also changed in version " +
                       std::to_string(Other.Version) + " by " + Other.Editor +
                       "; merge that edit into the files and apply again";
      return true;
    }
  }
  if (historyCovers(Stored.Head, Since + 1))
    return false;
  Result_.Detail = "the history no longer holds version " +
                   std::to_string(Since + 1) +
                   ", so edits since then can't be compared";
  return true;
}

std::optional<std::string> EditApplier::buildHead(const StoredHead &Stored) {
  ConfigurationHead Next = Stored.Head;
  Next.Version = Stored.Version + 1;
  Next.EditId = Edit_.EditId;
  if (Edit_.Files.Base)
    Next.Base = *Edit_.Files.Base;
  for (const auto &[Site, Text] : Edit_.Files.Overlays)
    Next.Overlays[Site] = Text;
  for (const std::string &Site : Edit_.RemovedOverlays)
    Next.Overlays.erase(Site);
  Result_.Errors = checkHead(Next);
  if (Result_.Errors.empty() && !Edit_.Offline)
    Result_.Errors = checkSuccessor(Stored.Head, Next);
  Result_.Errors = withPaths(std::move(Result_.Errors), Edit_.Files);
  if (!Result_.Errors.empty()) {
    Result_.Detail = "the checks refused the edit on top of version " +
                     std::to_string(Stored.Version);
    return std::nullopt;
  }
  Next.History.insert(Next.History.begin(),
                      {Next.Version, Edit_.EditId, Edit_.Editor, Edit_.EditedAt,
                       Edit_.Comment, Result_.Changed});
  if (Next.History.size() > MaximumHistoryEntries)
    Next.History.resize(MaximumHistoryEntries);
  std::string Text = serializeHead(Next);
  while (Text.size() >= MaximumHeadBytes && Next.History.size() > 1) {
    Next.History.pop_back();
    Text = serializeHead(Next);
  }
  if (Text.size() < MaximumHeadBytes)
    return Text;
  Result_.Errors.push_back({"head", "",
                            "the base file and all overlays have " +
                                std::to_string(Text.size()) +
                                " bytes in total; they must have fewer than " +
                                std::to_string(MaximumHeadBytes)});
  Result_.Detail = "the configuration is too large for the store";
  return std::nullopt;
}

bool EditApplier::historyCovers(const ConfigurationHead &Head,
                                std::uint64_t Version) const {
  return std::any_of(Head.History.begin(), Head.History.end(),
                     [Version](const ConfigurationEdit &Entry) {
                       return Entry.Version <= Version;
                     });
}

std::optional<std::uint64_t>
EditApplier::findEdit(const ConfigurationHead &Head) const {
  for (const ConfigurationEdit &Entry : Head.History)
    if (Entry.EditId == Edit_.EditId)
      return Entry.Version;
  return std::nullopt;
}

ApplyResult EditApplier::finish(ApplyOutcome Outcome, std::string Detail) {
  Result_.Outcome = Outcome;
  Result_.Detail = std::move(Detail);
  return Result_;
}

} // namespace nutmegloom
