#include "testing/standindatabase/replicatedlog.h"

#include <algorithm>

namespace nutmegloom::testing {

/// Index of the last entry of the term at position TermIndex of the history.
/// Last is the last index of the log.
static std::uint64_t endOfTerm(const TermHistory &Terms, std::size_t TermIndex,
                               std::uint64_t Last) {
  return TermIndex + 1 < Terms.size() ? Terms[TermIndex + 1].Start : Last;
}

std::uint64_t lastCommonIndex(const TermHistory &Left, std::uint64_t LeftLast,
                              const TermHistory &Right,
                              std::uint64_t RightLast) {
  for (std::size_t L = Left.size(); L-- > 0;)
    for (std::size_t R = Right.size(); R-- > 0;)
      if (Left[L].Term == Right[R].Term)
        return std::min(endOfTerm(Left, L, LeftLast),
                        endOfTerm(Right, R, RightLast));
  return 0;
}

ReplicatedLog::ReplicatedLog(JournalFunction Journal)
    : Journal_(std::move(Journal)) {}

void ReplicatedLog::restore(const JournalRecord &Record) {
  switch (Record.Type) {
  case JournalRecord::Kind::Append:
    add(Record.Entry);
    return;
  case JournalRecord::Kind::Truncate:
    truncateTo(Record.Index);
    return;
  case JournalRecord::Kind::Promise:
    Term_ = Record.Term;
    Promoter_ = Record.Text;
    return;
  case JournalRecord::Kind::Role:
    Role_ = Record.Role;
    PrimaryControl_ = Record.Text;
    return;
  }
}

void ReplicatedLog::initialize(bool IsPrimary,
                               const std::string &PrimaryControl) {
  setPromise(1, "");
  setRole(IsPrimary ? DatabaseRole::Primary : DatabaseRole::Replica,
          PrimaryControl);
}

void ReplicatedLog::setPromise(std::uint64_t Term,
                               const std::string &Promoter) {
  Term_ = Term;
  Promoter_ = Promoter;
  JournalRecord Record;
  Record.Type = JournalRecord::Kind::Promise;
  Record.Term = Term;
  Record.Text = Promoter;
  Journal_(Record);
}

void ReplicatedLog::setRole(DatabaseRole Role,
                            const std::string &PrimaryControl) {
  Role_ = Role;
  PrimaryControl_ = PrimaryControl;
  JournalRecord Record;
  Record.Type = JournalRecord::Kind::Role;
  Record.Role = Role;
  Record.Text = PrimaryControl;
  Journal_(Record);
}

bool ReplicatedLog::fence(std::uint64_t Term, const std::string &Promoter) {
  if (Term == Term_ && !Promoter.empty() && Promoter == Promoter_)
    return true;
  if (Term <= Term_)
    return false;
  setPromise(Term, Promoter);
  setRole(DatabaseRole::Fenced, PrimaryControl_);
  return true;
}

bool ReplicatedLog::promote(std::uint64_t Term, const std::string &Promoter) {
  if (Term != Term_ || Promoter.empty() || Promoter != Promoter_)
    return false;
  if (Role_ == DatabaseRole::Primary)
    return true;
  if (Role_ != DatabaseRole::Fenced)
    return false;
  setRole(DatabaseRole::Primary, "");
  applyTo(received());
  append(LogEntry());
  return true;
}

bool ReplicatedLog::follow(std::uint64_t Term,
                           const std::string &PrimaryControl) {
  if (Term < Term_ || (Term == Term_ && Role_ == DatabaseRole::Primary))
    return false;
  if (Term > Term_)
    setPromise(Term, "");
  if (Role_ != DatabaseRole::Replica || PrimaryControl_ != PrimaryControl)
    setRole(DatabaseRole::Replica, PrimaryControl);
  return true;
}

bool ReplicatedLog::mayWrite(std::uint64_t Term) const {
  return Role_ == DatabaseRole::Primary && Term == Term_;
}

bool ReplicatedLog::mayRead(std::uint64_t Term) const { return Term >= Term_; }

const KeyRecord *ReplicatedLog::findKey(const std::string &Key) const {
  const auto Found = Keys_.find(Key);
  return Found == Keys_.end() ? nullptr : &Found->second;
}

Position ReplicatedLog::append(LogEntry Entry) {
  Entry.Term = Term_;
  add(Entry);
  JournalRecord Record;
  Record.Entry = std::move(Entry);
  Journal_(Record);
  applyTo(received());
  return {Term_, received()};
}

void ReplicatedLog::add(const LogEntry &Entry) {
  if (logTerm() != Entry.Term)
    Terms_.push_back({Entry.Term, received()});
  Entries_.push_back(Entry);
}

std::uint64_t ReplicatedLog::termAt(std::uint64_t Index) const {
  return Index == 0 || Index > Entries_.size() ? 0 : Entries_[Index - 1].Term;
}

PullReply ReplicatedLog::serve(const PullRequest &Request,
                               std::size_t Limit) const {
  PullReply Reply;
  Reply.Term = Term_;
  Reply.Last = received();
  const std::uint64_t After = Request.After.Index;
  if (After > received() || termAt(After) != Request.After.Term) {
    Reply.Conflict = true;
    Reply.Terms = Terms_;
    return Reply;
  }
  const std::size_t Count = std::min<std::size_t>(Limit, received() - After);
  const auto First = Entries_.begin() + static_cast<std::ptrdiff_t>(After);
  Reply.Entries.assign(First, First + static_cast<std::ptrdiff_t>(Count));
  return Reply;
}

bool ReplicatedLog::receive(std::uint64_t Term,
                            const std::vector<LogEntry> &Entries) {
  if (Term != Term_ || Role_ != DatabaseRole::Replica)
    return false;
  for (const LogEntry &Entry : Entries) {
    add(Entry);
    JournalRecord Record;
    Record.Entry = Entry;
    Journal_(Record);
  }
  return true;
}

void ReplicatedLog::truncateToCommon(const TermHistory &PrimaryTerms,
                                     std::uint64_t PrimaryLast) {
  const std::uint64_t Common =
      lastCommonIndex(Terms_, received(), PrimaryTerms, PrimaryLast);
  if (Common == received())
    return;
  truncateTo(Common);
  JournalRecord Record;
  Record.Type = JournalRecord::Kind::Truncate;
  Record.Index = Common;
  Journal_(Record);
}

void ReplicatedLog::truncateTo(std::uint64_t Index) {
  Entries_.resize(Index);
  std::erase_if(
      Terms_, [Index](const TermStart &Start) { return Start.Start >= Index; });
  if (Applied_ <= Index)
    return;
  Applied_ = 0;
  Data_ = KeyValueStore();
  Keys_.clear();
  applyTo(Index);
}

void ReplicatedLog::applyTo(std::uint64_t Index) {
  for (; Applied_ < std::min(Index, received()); ++Applied_) {
    const LogEntry &Entry = Entries_[Applied_];
    const std::uint64_t At = Applied_ + 1;
    for (const auto &[Key, Value] : Entry.Effects)
      Data_.set(Key, Value, At);
    if (!Entry.Key.empty())
      Keys_[Entry.Key] = {
          {Entry.Term, At}, Entry.Fingerprint, Entry.Closes, Entry.Result};
  }
}

} // namespace nutmegloom::testing
