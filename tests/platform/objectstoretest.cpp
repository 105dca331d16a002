#include "platform/objectstore.h"

#include "protocol/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// Runs an ObjectStore against a server that records the targets of requests.
class ObjectStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ObjectStoreTest);
  CPPUNIT_TEST(keepsAnObjectNameInsideItsPartOfTheTarget);
  CPPUNIT_TEST(keepsThePageNameInsideItsParameter);
  CPPUNIT_TEST(reportsAPageThatLeadsNowhere);
  CPPUNIT_TEST(ignoresAResponseOfAnEarlierEra);
  CPPUNIT_TEST(reportsPagesOfTwoEras);
  CPPUNIT_TEST(countsAWriteInALaterEraAsLost);
  CPPUNIT_TEST(sendsNoConditionOnARevisionOfAnEarlierEra);
  CPPUNIT_TEST_SUITE_END();

  /// Another program may have given an object such a name.
  static constexpr const char *OddName = "a b/c?d=1&e#f%\r\ng";
  static constexpr const char *OddNameEscaped =
      "a%20b%2Fc%3Fd%3D1%26e%23f%25%0D%0Ag";

  boost::asio::io_context Io_;
  std::vector<std::string> Targets_;
  std::vector<std::string> Bodies_;
  /// Era of each response; the last one holds for all further ones.
  std::vector<std::uint64_t> Eras_{0};
  std::shared_ptr<HttpServer> Server_ = HttpServer::create(
      Io_, {}, [this](const HttpServerRequest &Request, auto Respond) {
        Targets_.emplace_back(Request.Target);
        HttpResponse Response;
        Response.Status = 200;
        Response.Body = Bodies_.at(Targets_.size() - 1);
        std::size_t At = std::min(Targets_.size(), Eras_.size()) - 1;
        if (Eras_[At] > 0)
          Response.Headers.emplace_back("store-era", std::to_string(Eras_[At]));
        Respond(Response);
        return std::function<void()>();
      });
  ObjectStore Store_{Io_,
                     std::get<std::string>(Server_->listen("127.0.0.1:0"))};

  static std::string objectBody() {
    return R"({"meta":{"Name":"a b/c?d=1&e#f%\r\ng","Revision":3},"spec":{}})";
  }

  template <typename T>
  void awaitResult(const std::optional<std::variant<T, StoreError>> &Result) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Result && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(Result);
  }

  template <typename T>
  T await(const std::optional<std::variant<T, StoreError>> &Result) {
    awaitResult(Result);
    return std::get<T>(*Result);
  }

  void keepsAnObjectNameInsideItsPartOfTheTarget() {
    Bodies_ = {objectBody()};
    std::optional<std::variant<StoredObject, StoreError>> Result;
    Store_.replace("leaderships", OddName, "{}", 2, Milliseconds{1000},
                   [&](auto Written) { Result = std::move(Written); });
    CPPUNIT_ASSERT_EQUAL(std::string(OddName), await(Result).Name);
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/objects/leaderships/") +
                             OddNameEscaped,
                         Targets_.at(0));
  }

  // Guards against one entry of another program that ends the list of
  // databases.
  void keepsThePageNameInsideItsParameter() {
    Bodies_ = {R"({"AsOf":3,"More":true,"items":[)" + objectBody() + "]}",
               R"({"AsOf":3,"items":[]})"};
    std::optional<std::variant<ObjectList, StoreError>> Result;
    Store_.list("servers", ReadMode::AllowStale, Milliseconds{1000},
                [&](auto Listed) { Result = std::move(Listed); });
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), await(Result).Objects.size());
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/objects/servers?after=") +
                             OddNameEscaped + "&Serializable=1",
                         Targets_.at(1));
  }

  // Guards against a part of a list that is taken for the whole: the databases
  // that it lacks would count as gone.
  void reportsAPageThatLeadsNowhere() {
    std::string Unreadable = R"({"AsOf":3,"More":true,"items":[{"meta":5}]})";
    std::string Page =
        R"({"AsOf":3,"More":true,"items":[)" + objectBody() + "]}";
    Bodies_ = {Unreadable, Page, Page};
    for (int Case = 0; Case < 2; ++Case) {
      std::optional<std::variant<ObjectList, StoreError>> Result;
      Store_.list("servers", ReadMode::Latest, Milliseconds{1000},
                  [&](auto Listed) { Result = std::move(Listed); });
      awaitResult(Result);
      CPPUNIT_ASSERT(std::get<StoreError>(*Result).Kind ==
                     StoreErrorKind::Unreadable);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Targets_.size());
  }

  std::variant<ObjectList, StoreError> list() {
    std::optional<std::variant<ObjectList, StoreError>> Result;
    Store_.list("servers", ReadMode::Latest, Milliseconds{1000},
                [&](auto Listed) { Result = std::move(Listed); });
    awaitResult(Result);
    return *Result;
  }

  std::variant<StoredObject, StoreError> replace(StoreRevision Revision) {
    std::optional<std::variant<StoredObject, StoreError>> Result;
    Store_.replace("leaderships", "g", "{}", Revision, Milliseconds{1000},
                   [&](auto Written) { Result = std::move(Written); });
    awaitResult(Result);
    return *Result;
  }

  // Guards against a late response that takes a host back to what the store
  // contained before it was restored.
  void ignoresAResponseOfAnEarlierEra() {
    Eras_ = {2, 1, 0, 3};
    Bodies_.assign(4, R"({"AsOf":9,"items":[]})");
    std::vector<std::uint64_t> Before;
    Store_.setEraHandler([&](std::uint64_t Era) { Before.push_back(Era); });
    CPPUNIT_ASSERT(std::get<ObjectList>(list()).Revision ==
                   StoreRevision(9, 2));
    for (int Case = 0; Case < 2; ++Case)
      CPPUNIT_ASSERT(std::get<StoreError>(list()).Kind ==
                     StoreErrorKind::NoAnswer);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Store_.era());
    CPPUNIT_ASSERT(std::get<ObjectList>(list()).Revision ==
                   StoreRevision(9, 3));
    CPPUNIT_ASSERT(Before == (std::vector<std::uint64_t>{0, 2}));
  }

  void reportsPagesOfTwoEras() {
    Eras_ = {1, 2};
    Bodies_ = {R"({"AsOf":9,"More":true,"items":[)" + objectBody() + "]}",
               R"({"AsOf":4,"items":[]})"};
    CPPUNIT_ASSERT(std::get<StoreError>(list()).Kind ==
                   StoreErrorKind::Unreadable);
  }

  // Guards against a write whose condition held by chance, because a revision
  // was given out again.
  void countsAWriteInALaterEraAsLost() {
    Eras_ = {1, 2};
    Bodies_ = {R"({"AsOf":9,"items":[]})", objectBody()};
    list();
    CPPUNIT_ASSERT(std::get<StoreError>(replace(StoreRevision(2, 1))).Kind ==
                   StoreErrorKind::NoAnswer);
  }

  void sendsNoConditionOnARevisionOfAnEarlierEra() {
    Eras_ = {2};
    Bodies_ = {R"({"AsOf":9,"items":[]})", objectBody()};
    list();
    CPPUNIT_ASSERT(std::get<StoreError>(replace(StoreRevision(2, 1))).Kind ==
                   StoreErrorKind::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Targets_.size());
    CPPUNIT_ASSERT(
        std::get<StoredObject>(replace(StoreRevision(2, 2))).Revision ==
        StoreRevision(3, 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObjectStoreTest);

} // namespace nutmegloom
