#include "platform/objectfollower.h"

#include "protocol/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// Tests the calls of a follower against a scripted store.
class ObjectFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectFollowerTest);
  CPPUNIT_TEST(usesShortWatchesUntilOneIsAnswered);
  CPPUNIT_TEST(confirmsTheCopyAsOfTheStartOfTheCall);
  CPPUNIT_TEST(listsAgainWhenAWatchReportsALaterEra);
  CPPUNIT_TEST(appliesAListWithLowerRevisionsOfALaterEra);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context Io_;
  TimePoint Now_{std::chrono::hours(1)};
  /// Status of each watch; further ones get no response.
  std::vector<int> WatchStatus_;
  std::vector<std::string> Watches_;
  /// Number of watches after which the store is restored.
  std::size_t WatchesBeforeRestore_ = 100;
  std::size_t Lists_ = 0;
  /// Revisions of the copy at its changes.
  std::vector<StoreRevision> Changes_;
  std::vector<TimePoint> Confirmed_;
  std::shared_ptr<HttpServer> Server_ = HttpServer::create(
      Io_, {}, [this](const HttpServerRequest &Request, auto Respond) {
        return serve(Request, Respond);
      });
  ObjectStore Store_{Io_,
                     std::get<std::string>(Server_->listen("127.0.0.1:0"))};
  ObjectFollower Follower_{
      Io_,
      Store_,
      "servers",
      {[this] { return Now_; },
       [this](const auto &, StoreRevision Revision) {
         Changes_.push_back(Revision);
       },
       [](bool, const std::string &) {},
       [this](TimePoint BegunAt) { Confirmed_.push_back(BegunAt); }}};

  std::function<void()> serve(const HttpServerRequest &Request,
                              const HttpServer::Respond &Respond) {
    bool Restored = Watches_.size() >= WatchesBeforeRestore_;
    HttpResponse Response;
    Response.Status = 200;
    Response.Headers.emplace_back("Store-Era", Restored ? "2" : "1");
    Response.Body = Restored ? R"({"AsOf":2,"More":false,"items":[]})"
                             : R"({"AsOf":3,"More":false,"items":[]})";
    std::string Target(Request.Target);
    Now_ += Milliseconds{10};
    if (Target.find("Watch=") == std::string::npos) {
      ++Lists_;
      Respond(Response);
      return {};
    }
    Watches_.push_back(Target);
    if (Watches_.size() > WatchStatus_.size())
      return {};
    Response.Status = WatchStatus_[Watches_.size() - 1];
    Response.Body = R"({"AsOf":4,"events":[]})";
    Respond(Response);
    return {};
  }

  void awaitWatches(std::size_t Count) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (Watches_.size() < Count && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(Watches_.size() >= Count);
  }

  std::string waitOf(std::size_t Watch) const {
    const std::string &Target = Watches_.at(Watch);
    std::size_t At = Target.find("WaitMs=") + 7;
    return Target.substr(At, Target.find('&', At) - At);
  }

  // Guards against a long watch that is sent to a silent store and given up
  // only seconds after the store's return: a change of the configuration came
  // too late.
  void usesShortWatchesUntilOneIsAnswered() {
    WatchStatus_ = {200, 503, 200};
    Follower_.setWatchTimeout(Milliseconds{2000});
    Follower_.start();
    awaitWatches(4);
    CPPUNIT_ASSERT_EQUAL(std::string("2000"), waitOf(0));
    CPPUNIT_ASSERT_EQUAL(std::string("2000"), waitOf(1));
    CPPUNIT_ASSERT_EQUAL(std::string("200"), waitOf(2));
    CPPUNIT_ASSERT_EQUAL(std::string("2000"), waitOf(3));
  }

  // The clock advances while the store works on a call; what it returns may be
  // as old as the start of the call.
  void confirmsTheCopyAsOfTheStartOfTheCall() {
    WatchStatus_ = {200};
    TimePoint Start = Now_;
    Follower_.start();
    awaitWatches(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Confirmed_.size());
    CPPUNIT_ASSERT(Confirmed_[0] == Start);
    CPPUNIT_ASSERT(Confirmed_[1] == Start + Milliseconds{10});
  }

  /// The second watch is answered with Status by a store that has returned
  /// with lower revisions.
  void checkListAfterRestore(int Status) {
    WatchStatus_ = {200, Status};
    WatchesBeforeRestore_ = 1;
    Follower_.start();
    awaitWatches(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Lists_);
    CPPUNIT_ASSERT(Changes_.back() == StoreRevision(2, 2));
    CPPUNIT_ASSERT(Watches_[2].find("Watch=2&") != std::string::npos);
  }

  // Guards against changes that are taken for changes of another copy, because
  // the revision of the watch was given out again.
  void listsAgainWhenAWatchReportsALaterEra() { checkListAfterRestore(200); }

  // Guards against a copy that no change reaches any more, since the revisions
  // of the restored store are lower, and against lists in quick succession.
  void appliesAListWithLowerRevisionsOfALaterEra() {
    checkListAfterRestore(410);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectFollowerTest);

} // namespace nutmegloom
