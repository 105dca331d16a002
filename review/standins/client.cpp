#include "client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A client closes its session if READY takes longer than this.
static constexpr Milliseconds OpenTimeout{2000};
static constexpr std::size_t ReadBytes = std::size_t{64} * 1024;

std::string Answer::text() const {
  if (!Complete)
    return Broken ? "the connection ended after " + std::to_string(Bytes) +
                        " bytes of the answer"
                  : "no answer in time";
  std::string Result =
      Code.empty() ? "COMPLETE " + Signature : "ERROR " + Code + " " + Detail;
  return Result + " READY " + State + ", " + std::to_string(Bytes) + " bytes";
}

void Client::close() {
  boost::system::error_code Ignored;
  if (Socket_)
    Socket_->close(Ignored);
}

/// Reads a line; false if the connection has ended before its end.
asio::awaitable<bool> Client::readLine(std::string &Line, Answer &Into) {
  std::vector<char> Buffer(ReadBytes);
  while (true) {
    std::size_t End = Input_.find("\r\n");
    if (End != std::string::npos) {
      Line = Input_.substr(0, End);
      Input_.erase(0, End + 2);
      co_return true;
    }
    boost::system::error_code Error;
    std::size_t Count = co_await Socket_->async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return false;
    Into.Bytes += Count;
    Input_.append(Buffer.data(), Count);
  }
}

asio::awaitable<bool> Client::open(tcp::endpoint Host, std::string Database) {
  Socket_ = std::make_shared<tcp::socket>(Io_);
  Input_.clear();
  auto Socket = Socket_;
  asio::steady_timer Timer(Io_, OpenTimeout);
  Timer.async_wait([Socket](auto Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  boost::system::error_code Error;
  co_await Socket->async_connect(
      Host, asio::redirect_error(asio::use_awaitable, Error));
  if (Error) {
    close();
    co_return false;
  }
  Socket->set_option(tcp::no_delay(true), Error);
  std::string Text = "START " + Database + " " + Name_ + "\r\n";
  co_await asio::async_write(*Socket, asio::buffer(Text),
                             asio::redirect_error(asio::use_awaitable, Error));
  Answer Ignored;
  std::string Line;
  bool Ready =
      !Error && co_await readLine(Line, Ignored) && Line.starts_with("READY ");
  if (!Ready)
    close();
  co_return Ready;
}

asio::awaitable<Answer> Client::query(std::string Id, std::string Text,
                                      Milliseconds Timeout) {
  Answer Got;
  Record_.add(Name_ + " sends " + Id + ": " + Text.substr(0, 60));
  auto Socket = Socket_;
  auto TimedOut = std::make_shared<bool>(false);
  asio::steady_timer Timer(Io_, Timeout);
  Timer.async_wait([Socket, TimedOut](auto Error) {
    if (Error)
      return;
    *TimedOut = true;
    boost::system::error_code Ignored;
    Socket->close(Ignored);
  });
  boost::system::error_code Error;
  std::string Message = "QUERY " + Id + " " + Text + "\r\n";
  co_await asio::async_write(*Socket, asio::buffer(Message),
                             asio::redirect_error(asio::use_awaitable, Error));
  std::string Line;
  while (!Error && co_await readLine(Line, Got)) {
    std::size_t Space = Line.find(' ');
    std::string Word = Line.substr(0, Space);
    std::string Rest = Space == std::string::npos ? "" : Line.substr(Space + 1);
    if (Word == "DATAROW")
      Got.Rows.push_back(Rest);
    if (Word == "COMPLETE")
      Got.Signature = Rest;
    if (Word == "ERROR") {
      Got.Code = Rest.substr(0, Rest.find(' '));
      Got.Detail =
          Rest.size() > Got.Code.size() ? Rest.substr(Got.Code.size() + 1) : "";
    }
    if (Word == "READY") {
      Got.State = Rest.substr(0, 1);
      Got.Complete = true;
      break;
    }
  }
  Got.Broken = !Got.Complete && !*TimedOut;
  if (!Got.Complete)
    close();
  Record_.add(Name_ + " gets for " + Id + ": " + Got.text());
  co_return Got;
}

} // namespace review
