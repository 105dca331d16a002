#include "testing/history/caller.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace nutmegloom::testing {

using nlohmann::json;

static constexpr std::size_t MaximumAnswerBytes = 8UL * 1024 * 1024;
/// Pause before a retry.
static constexpr Milliseconds RetryPause{50};
static constexpr std::uint64_t MaxAgeMs = 1000;

static std::uint64_t monotonicNanoseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

HistoryCaller::HistoryCaller(boost::asio::io_context &Io, CallerOptions Options,
                             std::string Name, std::ostream &Output,
                             std::function<void()> OnDone)
    : Io_(Io), Options_(std::move(Options)), Name_(std::move(Name)),
      Output_(Output), OnDone_(std::move(OnDone)), Random_(Options_.Seed),
      Timer_(Io) {
  Host_ = randomBelow(Options_.Hosts.size());
}

bool HistoryCaller::drawWithProbability(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(Random_) < Share;
}

std::uint64_t HistoryCaller::randomBelow(std::uint64_t Limit) {
  return std::uniform_int_distribution<std::uint64_t>(0, Limit - 1)(Random_);
}

void HistoryCaller::switchHost() {
  Host_ = (Host_ + 1) % Options_.Hosts.size();
  if (Http_)
    Http_->close();
  Http_.reset();
}

void HistoryCaller::afterPause(Milliseconds Pause, std::function<void()> Work) {
  Timer_.expires_after(Pause);
  Timer_.async_wait([Self = shared_from_this(), Work = std::move(Work)](
                        const boost::system::error_code &) { Work(); });
}

void HistoryCaller::start() {
  AfterOperation_ = [Self = weak_from_this()] {
    if (const auto Locked = Self.lock())
      Locked->afterPause(Locked->Options_.Pause,
                         [Locked] { Locked->sendNextOperation(); });
  };
  sendNextOperation();
}

void HistoryCaller::sendNextOperation() {
  if (Number_ == Options_.Operations) {
    OnDone_();
    return;
  }
  ++Number_;
  if (drawWithProbability(Options_.HostSwitchShare))
    switchHost();
  HistoryOperation Operation;
  Operation.Group = std::to_string(randomBelow(Options_.Groups));
  Operation.IsTransaction = drawWithProbability(Options_.TransactionShare);
  const bool IsWrite =
      drawWithProbability(Options_.WriteShare) || Operation.IsTransaction;
  UsesMaxAge_ = !IsWrite && drawWithProbability(Options_.MaxAgeShare);
  const std::string Base = Name_ + "-" + std::to_string(Number_);
  const auto AddStep = [&](std::uint64_t List, bool Append) {
    HistoryStep Step;
    Step.List = "list" + std::to_string(List);
    if (Append)
      Step.Value = Step.List + "/" + Base;
    Operation.Steps.push_back(std::move(Step));
  };
  const std::uint64_t First = randomBelow(Options_.Lists);
  AddStep(First, IsWrite);
  if (Operation.IsTransaction) {
    AddStep((First + 1) % Options_.Lists, true);
    AddStep(First, false);
  }
  if (IsWrite)
    Operation.Key = Base;
  Attempt_ = 0;
  begin(std::move(Operation));
}

void HistoryCaller::startFinalReads() { sendFinalRead(0); }

void HistoryCaller::sendFinalRead(std::size_t Number) {
  if (Number == Options_.Groups * Options_.Lists) {
    OnDone_();
    return;
  }
  // A read with neither session token nor maximum age is served by the primary.
  Token_.clear();
  UsesMaxAge_ = false;
  HistoryOperation Operation;
  Operation.IsFinal = true;
  Operation.Group = std::to_string(Number / Options_.Lists);
  Operation.Steps.push_back(
      {"list" + std::to_string(Number % Options_.Lists), "", {}, {}});
  AfterOperation_ = [Weak = weak_from_this(), Number] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    const bool Succeeded = Self->Current_.Result == Outcome::Run;
    if (!Succeeded)
      Self->switchHost();
    Self->afterPause(Succeeded ? Milliseconds(0) : RetryPause,
                     [Self, Next = Succeeded ? Number + 1 : Number] {
                       Self->sendFinalRead(Next);
                     });
  };
  ++Number_;
  begin(std::move(Operation));
}

void HistoryCaller::begin(HistoryOperation Operation) {
  Current_ = std::move(Operation);
  Current_.Id =
      Name_ + "-" + std::to_string(Number_) + "." + std::to_string(++Attempt_);
  Current_.Caller = Name_;
  Current_.Session = Name_ + "-s" + std::to_string(SessionNumber_);
  Current_.InvokedAt = monotonicNanoseconds();
  Current_.AnsweredAt = 0;
  Current_.Result = Outcome::Unknown;
  Current_.Error.clear();
  for (HistoryStep &Step : Current_.Steps) {
    Step.Items.reset();
    Step.Length.reset();
  }
  Output_ << encodeInvocation(Current_) << std::endl;
  if (Current_.IsTransaction)
    beginTransaction();
  else
    sendStatement();
}

json HistoryCaller::statementOf(const HistoryStep &Step) const {
  json Body = {{"statement", {{"op", "get"}, {"key", Step.List}}},
               {"kind", "read"},
               {"timeout_ms", Options_.TimeoutMs}};
  if (!Step.Value.empty()) {
    Body["statement"] = {
        {"op", "append"}, {"key", Step.List}, {"value", Step.Value}};
    Body["kind"] = "write";
  } else if (UsesMaxAge_) {
    Body["max_age_ms"] = MaxAgeMs;
  }
  return Body;
}

void HistoryCaller::post(const std::string &Target, const json &Body,
                         const std::string &Key, ResponseHandler Handler) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = Target;
  Request.Headers.emplace_back("Content-Type", "application/json");
  if (!Token_.empty())
    Request.Headers.emplace_back("Session-Token", Token_);
  if (!Key.empty())
    Request.Headers.emplace_back("Idempotency-Key", Key);
  Request.Body = Body.dump();
  if (Http_ && Http_->isOpen()) {
    exchange(std::move(Request), std::move(Handler));
    return;
  }
  Http_ =
      HttpConnection::create(Io_, Options_.Hosts[Host_], MaximumAnswerBytes);
  Http_->connect(Milliseconds(Options_.TimeoutMs),
                 [Self = shared_from_this(), Request = std::move(Request),
                  Handler = std::move(Handler)](const HttpFailure *Failure) {
                   if (!Failure) {
                     Self->exchange(Request, Handler);
                     return;
                   }
                   Self->Current_.Result = Outcome::NotRun;
                   Self->Current_.Error = "not_connected";
                   Handler(nullptr);
                 });
}

void HistoryCaller::exchange(HttpRequest Request, ResponseHandler Handler) {
  // Waits for longer than the request's deadline, so that the host can report
  // that the deadline has passed.
  Http_->exchange(
      std::move(Request), Milliseconds(2 * Options_.TimeoutMs),
      [Self = shared_from_this(), Handler = std::move(Handler)](
          std::variant<HttpResponse, HttpFailure> Answer) {
        if (const auto *Response = std::get_if<HttpResponse>(&Answer)) {
          const std::string Token = Response->header("Session-Token");
          if (!Token.empty())
            Self->Token_ = Token;
          Handler(Response);
          return;
        }
        Self->Current_.Result = Outcome::Unknown;
        Self->Current_.Error = "no_answer";
        Handler(nullptr);
      });
}

void HistoryCaller::parseResponse(const HttpResponse *Response,
                                  HistoryStep *Step) {
  if (!Response)
    return;
  const json Body = json::parse(Response->Body, nullptr, false);
  if (!Body.is_object()) {
    Current_.Result = Outcome::Unknown;
    Current_.Error = "malformed";
    return;
  }
  Current_.Result =
      outcomeOf(Body.value("outcome", "unknown")).value_or(Outcome::Unknown);
  Current_.Error =
      Response->Status / 100 == 2 ? "" : Body.value("code", "none");
  if (!Step || !Current_.Error.empty() || !Body.contains("result"))
    return;
  const json &Result = Body["result"];
  if (!Step->Value.empty()) {
    if (Result.is_number_unsigned())
      Step->Length = Result.get<std::uint64_t>();
  } else {
    Step->Items.emplace();
    // A result that is not an array of strings is recorded as values that were
    // never appended, so that the checker reports it.
    if (Result.is_array())
      for (const json &Item : Result)
        Step->Items->push_back(Item.is_string() ? Item.get<std::string>()
                                                : Item.dump());
    else if (!Result.is_null())
      Step->Items->push_back(Result.dump());
  }
}

void HistoryCaller::sendStatement() {
  post("/v1/" + Options_.Service + "/" + Current_.Group + "/statements",
       statementOf(Current_.Steps.front()), Current_.Key,
       [Self = shared_from_this()](const HttpResponse *Response) {
         Self->parseResponse(Response, &Self->Current_.Steps.front());
         Self->finish();
       });
}

void HistoryCaller::beginTransaction() {
  post("/v1/" + Options_.Service + "/" + Current_.Group + "/transactions",
       json{{"timeout_ms", Options_.TimeoutMs}}, "",
       [Self = shared_from_this()](const HttpResponse *Response) {
         std::string Id;
         if (Response && Response->Status == 201) {
           const json Body = json::parse(Response->Body, nullptr, false);
           if (Body.is_object())
             Id = Body.value("transaction", "");
         }
         if (!Id.empty()) {
           Self->sendStep(Id, 0);
           return;
         }
         Self->parseResponse(Response, nullptr);
         // No transaction was begun, so no statement was sent.
         Self->Current_.Result = Outcome::NotRun;
         Self->finish();
       });
}

void HistoryCaller::sendStep(const std::string &Transaction,
                             std::size_t StepIndex) {
  if (StepIndex == Current_.Steps.size()) {
    commit(Transaction, 1);
    return;
  }
  HistoryStep &Step = Current_.Steps[StepIndex];
  post("/v1/transactions/" + Transaction + "/statements", statementOf(Step), "",
       [Self = shared_from_this(), Transaction,
        StepIndex](const HttpResponse *Response) {
         Self->parseResponse(Response, &Self->Current_.Steps[StepIndex]);
         if (Self->Current_.Error.empty()) {
           Self->sendStep(Transaction, StepIndex + 1);
           return;
         }
         // Without a commit the transaction must have no effect.
         Self->Current_.Result = Outcome::NotRun;
         Self->post("/v1/transactions/" + Transaction + "/rollback",
                    json::object(), "", [Self](const HttpResponse *) {
                      Self->Current_.Result = Outcome::NotRun;
                      Self->finish();
                    });
       });
}

void HistoryCaller::commit(const std::string &Transaction,
                           std::uint64_t Attempt) {
  post("/v1/transactions/" + Transaction + "/commit", json::object(),
       Current_.Key,
       [Self = shared_from_this(), Transaction,
        Attempt](const HttpResponse *Response) {
         Self->parseResponse(Response, nullptr);
         if (Self->Current_.Result != Outcome::Unknown ||
             Attempt == Self->Options_.Attempts) {
           // That a retry did not run says nothing about earlier attempts,
           // whose outcome stays unknown. Only transaction_lost covers them
           // too.
           if (Attempt > 1 && Self->Current_.Result == Outcome::NotRun &&
               Self->Current_.Error != "transaction_lost")
             Self->Current_.Result = Outcome::Unknown;
           Self->finish();
           return;
         }
         Self->switchHost();
         Self->afterPause(RetryPause, [Self, Transaction, Attempt] {
           Self->commit(Transaction, Attempt + 1);
         });
       });
}

void HistoryCaller::finish() {
  Current_.AnsweredAt = monotonicNanoseconds();
  Output_ << encodeAnswer(Current_) << std::endl;
  if (Current_.Error == "write_lost") {
    // The token refers to a log position that no longer exists, so a new
    // session is begun.
    Token_.clear();
    ++SessionNumber_;
  }
  const bool MayRepeat = !Current_.Key.empty() && !Current_.IsTransaction &&
                         Attempt_ < Options_.Attempts;
  const bool Repeats = MayRepeat && (Current_.Result == Outcome::Unknown ||
                                     (Current_.Result == Outcome::NotRun &&
                                      Current_.Error != "statement_failed" &&
                                      drawWithProbability(0.5)));
  if (!Repeats) {
    if (Current_.Error == "not_connected" || Current_.Error == "no_answer")
      switchHost();
    AfterOperation_();
    return;
  }
  switchHost();
  afterPause(RetryPause,
             [Self = shared_from_this()] { Self->begin(Self->Current_); });
}

} // namespace nutmegloom::testing
