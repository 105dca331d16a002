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

/// An entry of a group's replicated log. A primary begins its term with an
/// entry that has neither key nor effects.
struct LogEntry {
  std::uint64_t Term = 0;
  /// Idempotency key whose outcome the entry records; may be empty.
  std::string Key;
  /// Fingerprint of the request, to detect a key that is reused for another
  /// one.
  std::uint64_t Fingerprint = 0;
  /// The entry closes the key: nothing was executed for it, or ever will be.
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
  /// Kind::Truncate: last index that is kept.
  std::uint64_t Index = 0;
  /// Kind::Promise: the promised term.
  std::uint64_t Term = 0;
  /// Kind::Promise: the promoter. Kind::Role: control address of the primary.
  std::string Text;
  DatabaseRole Role = DatabaseRole::Unknown;
};

/// A replica's request for the entries after its last position.
struct PullRequest {
  std::uint64_t Term = 0;
  /// Last position that the replica has.
  Position After;
};

struct PullReply {
  std::uint64_t Term = 0;
  /// The replica's last position isn't in the primary's log; the replica has to
  /// truncate its log. Only then Terms is set.
  bool Conflict = false;
  /// Last index of the primary's log.
  std::uint64_t Last = 0;
  TermHistory Terms;
  std::vector<LogEntry> Entries;
};

/// Last index up to which two logs hold the same entries. Entries with the same
/// index and term are identical, because a term has only one primary.
std::uint64_t lastCommonIndex(const TermHistory &Left, std::uint64_t LeftLast,
                              const TermHistory &Right,
                              std::uint64_t RightLast);

/// Replication state of one database: promised term, role, log entries, and the
/// data and key records that result from the applied entries. It does no I/O;
/// durable changes are passed to the journal function.
class ReplicatedLog {
public:
  using JournalFunction = std::function<void(const JournalRecord &)>;

  explicit ReplicatedLog(JournalFunction Journal);

  /// Repeats a change from the journal, without journalling it again.
  void restore(const JournalRecord &Record);
  /// Applies all restored entries, after the last restore().
  void finishRestore() { applyTo(received()); }

  /// Starts an empty database at term 1.
  void initialize(bool IsPrimary, const std::string &PrimaryControl);

  /// Promises the term to the promoter and stops accepting writes. Returns
  /// false if a later term is promised, or this term to another promoter.
  bool fence(std::uint64_t Term, const std::string &Promoter);
  /// Makes a database primary that is fenced for this term and promoter, and
  /// appends the first entry of the term. Returns false otherwise.
  bool promote(std::uint64_t Term, const std::string &Promoter);
  /// Makes the database a replica. Returns false for an earlier term than the
  /// promised one, or if the database is primary of this term.
  bool follow(std::uint64_t Term, const std::string &PrimaryControl);

  /// True if the database is primary of exactly this term.
  bool mayWrite(std::uint64_t Term) const;
  /// True unless a later term than this one is promised.
  bool mayRead(std::uint64_t Term) const;
  /// Outcome of the key in the applied entries; null if there is none.
  const KeyRecord *findKey(const std::string &Key) const;
  /// Appends and applies an entry of the promised term. Only for a primary.
  Position append(LogEntry Entry);

  /// Answers a replica's pull with at most Limit entries.
  PullReply serve(const PullRequest &Request, std::size_t Limit) const;
  /// Appends a primary's entries without applying them. Returns false if Term
  /// is not the promised term or the database is not a replica.
  bool receive(std::uint64_t Term, const std::vector<LogEntry> &Entries);
  /// Removes the entries that the primary's log doesn't have.
  void truncateToCommon(const TermHistory &PrimaryTerms,
                        std::uint64_t PrimaryLast);
  /// Applies the entries up to the index, so that reads see them.
  void applyTo(std::uint64_t Index);

  std::uint64_t term() const { return Term_; }
  DatabaseRole role() const { return Role_; }
  const std::string &primaryControl() const { return PrimaryControl_; }
  std::uint64_t received() const { return Entries_.size(); }
  std::uint64_t applied() const { return Applied_; }
  std::uint64_t logTerm() const { return termAt(received()); }
  /// Term of the entry at the index; zero for index 0 or past the end.
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
