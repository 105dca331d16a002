#include "testing/standindatabase/replicationclient.h"

#include "protocol/httpconnection.h"
#include "testing/standindatabase/journal.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace nutmegloom::testing {

using nlohmann::json;
using std::chrono::steady_clock;

/// Longest time that the primary holds a pull while it has no new entries. It
/// limits the age that an idle replica reports, network delay aside.
static constexpr Milliseconds PullWait{50};
static constexpr Milliseconds PullTimeout{1000};
static constexpr Milliseconds RetryDelay{20};
static constexpr std::size_t MaximumReplyBytes = 64UL * 1024 * 1024;

ReplicationClient::ReplicationClient(boost::asio::io_context &Io,
                                     ReplicatedLog &Log,
                                     const DatabaseFaults &Faults,
                                     std::function<void()> OnChange)
    : Io_(Io), Log_(Log), Faults_(Faults), OnChange_(std::move(OnChange)),
      PullTimer_(Io), BatchTimer_(Io), CaughtUpAt_(steady_clock::now()),
      LastContact_(CaughtUpAt_) {}

void ReplicationClient::start() {
  WasPrimary_ = Log_.role() == DatabaseRole::Primary;
  pull();
}

void ReplicationClient::restart() {
  ++Generation_;
  if (WasPrimary_)
    LastContact_ = CaughtUpAt_ = steady_clock::now();
  WasPrimary_ = Log_.role() == DatabaseRole::Primary;
  Receiving_.clear();
  // Entries that are in the log stay there; they are applied at once.
  if (!Applying_.empty())
    Log_.applyTo(Applying_.back().LastIndex);
  Applying_.clear();
  if (Http_)
    Http_->close();
  Http_.reset();
  pull();
}

Milliseconds ReplicationClient::age() const {
  if (Log_.role() == DatabaseRole::Primary)
    return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(steady_clock::now() -
                                                  CaughtUpAt_);
}

Milliseconds ReplicationClient::timeSinceContact() const {
  if (Log_.role() == DatabaseRole::Primary)
    return Milliseconds(0);
  return std::chrono::duration_cast<Milliseconds>(steady_clock::now() -
                                                  LastContact_);
}

void ReplicationClient::schedulePull(Milliseconds Delay) {
  PullTimer_.expires_after(Delay);
  PullTimer_.async_wait([Self = shared_from_this(), Generation = Generation_](
                            const boost::system::error_code &Error) {
    if (!Error && Generation == Self->Generation_)
      Self->pull();
  });
}

void ReplicationClient::pull() {
  if (Log_.role() != DatabaseRole::Replica)
    return;
  if (Faults_.Cut.contains("replication")) {
    schedulePull(RetryDelay);
    return;
  }
  if (!Http_ || !Http_->isOpen()) {
    Http_ =
        HttpConnection::create(Io_, Log_.primaryControl(), MaximumReplyBytes);
    Http_->connect(PullTimeout,
                   [Self = shared_from_this(),
                    Generation = Generation_](const HttpFailure *Failure) {
                     if (Generation != Self->Generation_)
                       return;
                     if (Failure)
                       Self->schedulePull(RetryDelay);
                     else
                       Self->pull();
                   });
    return;
  }
  if (Receiving_.empty())
    Fetched_ = {Log_.logTerm(), Log_.received()};
  const PullRequest Request{Log_.term(), Fetched_};
  HttpRequest Http;
  Http.Target = "/v1/log?term=" + std::to_string(Request.Term) +
                "&after=" + std::to_string(Request.After.Index) +
                "&log_term=" + std::to_string(Request.After.Term) +
                "&wait_ms=" + std::to_string(PullWait.count());
  Http_->exchange(Http, PullTimeout,
                  [Self = shared_from_this(), Generation = Generation_, Request,
                   SentAt = steady_clock::now()](
                      std::variant<HttpResponse, HttpFailure> Result) {
                    if (Generation != Self->Generation_)
                      return;
                    const auto *Response = std::get_if<HttpResponse>(&Result);
                    if (!Response || Response->Status != 200 ||
                        Self->Faults_.Cut.contains("replication")) {
                      Self->schedulePull(RetryDelay);
                      return;
                    }
                    Self->onReply(Generation, Request, SentAt, *Response);
                  });
}

static PullReply decodeReply(const std::string &Text) {
  const json Body = json::parse(Text);
  PullReply Reply;
  Reply.Term = Body.at("term").get<std::uint64_t>();
  Reply.Conflict = Body.at("conflict").get<bool>();
  Reply.Last = Body.at("last").get<std::uint64_t>();
  for (const json &Start : Body.at("terms"))
    Reply.Terms.push_back({Start.at("term").get<std::uint64_t>(),
                           Start.at("start").get<std::uint64_t>()});
  for (const json &Entry : Body.at("entries"))
    Reply.Entries.push_back(decodeEntry(Entry));
  return Reply;
}

void ReplicationClient::onReply(std::uint64_t Generation,
                                const PullRequest &Request, TimePoint SentAt,
                                const HttpResponse &Response) {
  PullReply Reply = decodeReply(Response.Body);
  if (Reply.Term != Log_.term() || Generation != Generation_) {
    schedulePull(RetryDelay);
    return;
  }
  const TimePoint Now = steady_clock::now();
  LastContact_ = Now;
  if (Reply.Conflict) {
    // Only the first pull from a primary can conflict, so no batch is lost
    // here.
    Receiving_.clear();
    Log_.truncateToCommon(Reply.Terms, Reply.Last);
    OnChange_();
    pull();
    return;
  }
  Batch Next;
  Next.Due = Now + Faults_.ReplicationDelay;
  if (Request.After.Index + Reply.Entries.size() == Reply.Last)
    Next.CaughtUpAt = SentAt;
  if (!Reply.Entries.empty())
    Fetched_ = {Reply.Entries.back().Term,
                Request.After.Index + Reply.Entries.size()};
  Next.Entries = std::move(Reply.Entries);
  Receiving_.push_back(std::move(Next));
  processDueBatches();
  pull();
}

void ReplicationClient::processDueBatches() {
  const TimePoint Now = steady_clock::now();
  bool Changed = false;
  while (!Receiving_.empty() && Receiving_.front().Due <= Now) {
    Batch Next = std::move(Receiving_.front());
    Receiving_.pop_front();
    if (!Log_.receive(Log_.term(), Next.Entries))
      continue;
    Changed = Changed || !Next.Entries.empty();
    Next.LastIndex = Log_.received();
    Next.Due = Now + Faults_.ApplyDelay;
    Next.Entries.clear();
    Applying_.push_back(std::move(Next));
  }
  while (!Applying_.empty() && Applying_.front().Due <= Now) {
    Log_.applyTo(Applying_.front().LastIndex);
    if (Applying_.front().CaughtUpAt)
      CaughtUpAt_ = *Applying_.front().CaughtUpAt;
    Applying_.pop_front();
  }
  if (Changed)
    OnChange_();
  scheduleNextBatch();
}

void ReplicationClient::scheduleNextBatch() {
  if (Receiving_.empty() && Applying_.empty())
    return;
  TimePoint Due = TimePoint::max();
  if (!Receiving_.empty())
    Due = Receiving_.front().Due;
  if (!Applying_.empty())
    Due = std::min(Due, Applying_.front().Due);
  BatchTimer_.expires_at(Due);
  BatchTimer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Error)
          Self->processDueBatches();
      });
}

} // namespace nutmegloom::testing
