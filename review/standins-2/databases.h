#ifndef NUTMEGLOOM_REVIEW_DATABASES_H
#define NUTMEGLOOM_REVIEW_DATABASES_H

#include "store.h"

#include <set>

namespace review {

/// A statement of a client that a database has received.
struct ReceivedStatement {
  double At = 0;
  std::string Database;
  std::string Id;
  std::string Text;
  std::uint64_t Connection = 0;
  bool InTransaction = false;
};

/// A call of the platform's promotion API.
struct PromotionCall {
  double At = 0;
  std::string Holder;
  std::uint64_t Token = 0;
  std::string Service;
  std::string Database;
};

/// The databases of one service, and the platform's promotion API. They
/// register themselves in the store.
class Databases {
public:
  struct Settings {
    std::string Service = "g";
    std::vector<std::string> Ids{"i-a", "i-b", "i-c"};
    std::string Ip = "127.0.2.1";
    std::string Zone = "z1";
    std::uint32_t Slots = 5;
    Milliseconds Work{5};
  };

  Databases(Store &Registry, Settings Given, std::function<double()> Seconds);

  /// The database reports that it drains. It goes on serving.
  void drain(const std::string &Id);
  /// The database exits, and its entry is removed.
  void stop(const std::string &Id);
  /// Writes the entries again, as after the return of the store.
  void writeEntries();
  /// Work of each statement of a client.
  void setWork(Milliseconds Work) { Given_.Work = Work; }
  /// Committed data of an item at the primary; empty: none.
  std::string committed(const std::string &Item);
  std::string primary();
  std::string replica();
  std::vector<ReceivedStatement> received();
  std::vector<PromotionCall> promotions();
  const std::string &service() const { return Given_.Service; }

  /// Opens an entrance of the promotion API for one machine.
  std::shared_ptr<Store::Entrance> openPromotions(const std::string &Ip);
  /// Called when a promotion request has been read, before it is handled.
  void setOnRequest(std::function<void(const HttpRequest &)> Handler) {
    OnRequest_ = std::move(Handler);
  }

private:
  struct Entry {
    std::uint64_t Term = 0;
    std::uint64_t Index = 0;
    std::string Item;
    std::string Data;
  };
  struct Member {
    std::unique_ptr<Listener> Port;
    std::vector<std::shared_ptr<Socket>> Connections;
    std::vector<Entry> Log;
    std::uint64_t Term = 1;
    std::uint64_t PausedTerm = 0;
    bool Leads = false;
    bool Draining = false;
    bool Up = true;
    int Busy = 0;
  };
  /// A session of a caller with a database.
  struct Session {
    std::uint64_t Number = 0;
    std::string State = "I";
    bool ReadOnly = false;
    std::uint64_t BegunTerm = 0;
    std::vector<std::pair<std::string, std::string>> Writes;
    std::map<std::string, std::pair<bool, std::string>> Prepared;
  };

  void serve(const std::string &Id, const std::shared_ptr<Socket> &Connection);
  std::string answer(const std::string &Id, Session &Caller,
                     const std::string &Statement, std::string Text);
  std::string runStatement(const std::string &Id, Session &Caller,
                           std::string Text);
  std::string runControl(const std::string &Id, Session &Caller,
                         const std::string &Text);
  std::string status(const std::string &Id);
  void commit(const std::string &Id, Session &Caller);
  std::string positionOf(const Member &Known) const;
  void writeEntry(const std::string &Id);
  HttpResponse promote(const HttpRequest &Request);
  void takeOver(const std::string &Id);

  Store &Registry_;
  Settings Given_;
  std::function<double()> Seconds_;
  std::recursive_mutex Mutex_;
  std::map<std::string, Member> Members_;
  std::vector<ReceivedStatement> Received_;
  std::vector<PromotionCall> Promotions_;
  std::function<void(const HttpRequest &)> OnRequest_;
  std::uint64_t Signatures_ = 0;
  std::atomic<std::uint64_t> Sessions_ = 0;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_DATABASES_H
