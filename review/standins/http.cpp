#include "http.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <sstream>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string textOf(const tcp::endpoint &Address) {
  return Address.address().to_string() + ":" + std::to_string(Address.port());
}

HttpServer::HttpServer(asio::io_context &Io, const tcp::endpoint &Address,
                       Handler Serve)
    : Io_(Io), Acceptor_(Io, Address), Serve_(std::move(Serve)) {
  start(Io_, accept());
}

asio::awaitable<void> HttpServer::accept() {
  while (true) {
    tcp::socket Socket = co_await Acceptor_.async_accept(asio::use_awaitable);
    Socket.set_option(tcp::no_delay(true));
    start(Io_, serve(std::move(Socket)));
  }
}

static HttpRequest readHead(const std::string &Head) {
  HttpRequest Request;
  std::istringstream Lines(Head);
  std::string Target;
  Lines >> Request.Method >> Target;
  std::string Line;
  std::getline(Lines, Line);
  std::size_t Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos) {
    std::istringstream Parts(Target.substr(Mark + 1));
    while (std::getline(Parts, Line, '&')) {
      std::size_t Equals = Line.find('=');
      if (Equals != std::string::npos)
        Request.Query[Line.substr(0, Equals)] = Line.substr(Equals + 1);
    }
  }
  while (std::getline(Lines, Line) && Line != "\r") {
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char C) { return std::tolower(C); });
    std::size_t From = Line.find_first_not_of(' ', Colon + 1);
    std::size_t To = Line.find_last_not_of("\r ");
    Request.Headers[Name] =
        From == std::string::npos ? "" : Line.substr(From, To - From + 1);
  }
  return Request;
}

static std::string reasonOf(int Status) {
  return Status < 300 ? "OK" : "Error";
}

asio::awaitable<void> HttpServer::serve(tcp::socket Socket) {
  std::string Input;
  try {
    while (true) {
      std::size_t Size = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Input), "\r\n\r\n", asio::use_awaitable);
      HttpRequest Request = readHead(Input.substr(0, Size));
      Input.erase(0, Size);
      auto Length = Request.Headers.find("content-length");
      std::size_t Wanted =
          Length == Request.Headers.end() ? 0 : std::stoul(Length->second);
      if (Input.size() < Wanted)
        co_await asio::async_read(Socket, asio::dynamic_buffer(Input),
                                  asio::transfer_exactly(Wanted - Input.size()),
                                  asio::use_awaitable);
      Request.Body = Input.substr(0, Wanted);
      Input.erase(0, Wanted);
      std::optional<HttpReply> Reply = co_await Serve_(std::move(Request));
      if (!Reply)
        continue;
      std::string Text = "HTTP/1.1 " + std::to_string(Reply->Status) + " " +
                         reasonOf(Reply->Status) +
                         "\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Reply->Body.size()) + "\r\n\r\n" +
                         Reply->Body;
      co_await asio::async_write(Socket, asio::buffer(Text),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // The caller has closed the connection.
  }
}

asio::awaitable<int> getStatus(tcp::endpoint Address, std::string Path) {
  auto Executor = co_await asio::this_coro::executor;
  auto Socket = std::make_shared<tcp::socket>(Executor);
  auto Timer =
      std::make_shared<asio::steady_timer>(Executor, Milliseconds{1000});
  Timer->async_wait([Socket](auto Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  int Status = 0;
  try {
    co_await Socket->async_connect(Address, asio::use_awaitable);
    std::string Text = "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    co_await asio::async_write(*Socket, asio::buffer(Text),
                               asio::use_awaitable);
    std::string Input;
    co_await asio::async_read_until(*Socket, asio::dynamic_buffer(Input),
                                    "\r\n", asio::use_awaitable);
    Status = std::stoi(Input.substr(Input.find(' ') + 1, 3));
  } catch (const boost::system::system_error &) {
    Status = 0;
  }
  Timer->cancel();
  co_return Status;
}

} // namespace review
