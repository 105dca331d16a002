#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATEDLOG_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATEDLOG_H

#include "core/types.h"
#include "testing/standindatabase/keyvaluestore.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace nutmegloom::testing {

/// One entry of a group's log. An entry without key and effects starts a term.
struct LogEntry {
  std::uint64_t Term = 0;
  /// Idempotency key whose outcome the entry records; may be empty.
  std::string Key;
  std::uint64_t Fingerprint = 0;
  /// The entry closes the key: nothing was executed for it.
  bool Closes = false;
  /// JSON text of the result.
  std::string Result = "null";
  /// Keys and their new values, as JSON text.
  std::vector<std::pair<std::string, std::string>> Effects;
};

/// The recorded outcome of an idempotency key.
struct KeyRecord {
  Position At;
  std::uint64_t Fingerprint = 0;
  bool Closed = false;
  std::string Result;
};

/// A change of the durable state.
struct JournalRecord {
  enum class Kind { Append, Truncate, Promise, Role };
  Kind Type = Kind::Append;
  LogEntry Entry;
  /// Truncate: last index that is kept.
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  /// Promise: the promoter. Role: control address of the primary.
  std::string Text;
  DatabaseRole Role = DatabaseRole::Unknown;
};

/// What a replica asks its primary for.
struct PullRequest {
  std::uint64_t Term = 0;
  /// Last position that the replica has.
  Position After;
};

struct PullReply {
  std::uint64_t Term = 0;
  /// The replica's last position isn't in this log; it has to truncate.
  bool Conflict = false;
  std::uint64_t Last = 0;
  TermHistory Terms;
  std::vector<LogEntry> Entries;
};

/// Last index up to which two logs hold the same entries. An index that both
/// hold under the same term is the same entry, because a term has one primary.
std::uint64_t lastCommonIndex(const TermHistory &Left, std::uint64_t LeftLast,
                              const TermHistory &Right,
                              std::uint64_t RightLast);

/// The replicated log of one database: promised term, role, entries, key
/// records and the data that they produce. It does no I/O.
class ReplicatedLog {
public:
  using JournalFunction = std::function<void(const JournalRecord &)>;

  explicit ReplicatedLog(JournalFunction Journal);

  /// Repeats a change that was read back from the journal.
  void restore(const JournalRecord &Record);
  /// Applies everything that was restored.
  void finishRestore() { applyTo(received()); }

  /// Starts an empty database at term 1.
  void initialize(bool IsPrimary, const std::string &PrimaryControl);

  bool fence(std::uint64_t Term, const std::string &Promoter);
  bool promote(std::uint64_t Term, const std::string &Promoter);
  bool follow(std::uint64_t Term, const std::string &PrimaryControl);

  bool mayWrite(std::uint64_t Term) const;
  bool mayRead(std::uint64_t Term) const;
  const KeyRecord *findKey(const std::string &Key) const;
  /// Appends an entry under the promised term. For a primary only.
  Position append(LogEntry Entry);

  PullReply serve(const PullRequest &Request, std::size_t Limit) const;
  /// Adds entries after the last one; false when Term is not the promised
  /// term or this is not a replica.
  bool receive(std::uint64_t Term, const std::vector<LogEntry> &Entries);
  /// Drops the entries that the primary's log doesn't have.
  void truncateToCommon(const TermHistory &PrimaryTerms,
                        std::uint64_t PrimaryLast);
  /// Makes entries up to the index visible to reads.
  void applyTo(std::uint64_t Index);

  std::uint64_t term() const { return Term_; }
  DatabaseRole role() const { return Role_; }
  const std::string &primaryControl() const { return PrimaryControl_; }
  std::uint64_t received() const { return Entries_.size(); }
  std::uint64_t applied() const { return Applied_; }
  std::uint64_t logTerm() const { return termAt(received()); }
  /// Term of the entry at the index; zero for index 0.
  std::uint64_t termAt(std::uint64_t Index) const;
  const TermHistory &terms() const { return Terms_; }
  const KeyValueStore &data() const { return Data_; }

private:
  void add(const LogEntry &Entry);
  void truncateTo(std::uint64_t Index);
  void setRole(DatabaseRole Role, const std::string &PrimaryControl);
  void setPromise(std::uint64_t Term, const std::string &Promoter);

  JournalFunction Journal_;
  std::uint64_t Term_ = 0;
  std::string Promoter_;
  DatabaseRole Role_ = DatabaseRole::Unknown;
  std::string PrimaryControl_;
  std::vector<LogEntry> Entries_;
  TermHistory Terms_;
  std::uint64_t Applied_ = 0;
  KeyValueStore Data_;
  std::map<std::string, KeyRecord> Keys_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATEDLOG_H
