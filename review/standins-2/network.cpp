#include "network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr int Backlog = 256;
constexpr std::size_t ReadBytes = 65536;

sockaddr_in endpointOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &Endpoint.sin_addr);
  return Endpoint;
}

int millisecondsUntil(Clock::time_point Until) {
  auto Left = std::chrono::ceil<Milliseconds>(Until - Clock::now()).count();
  return Left < 0 ? 0 : static_cast<int>(Left);
}

void setNoDelay(int Descriptor) {
  int One = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
}

} // namespace

Socket::~Socket() { ::close(Descriptor_); }

std::unique_ptr<Socket> Socket::connect(const std::string &Ip,
                                        std::uint16_t Port,
                                        Milliseconds Timeout) {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Result = std::make_unique<Socket>(Descriptor);
  timeval Limit{};
  Limit.tv_sec = static_cast<time_t>(Timeout.count() / 1000);
  Limit.tv_usec = static_cast<suseconds_t>(Timeout.count() % 1000 * 1000);
  ::setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  sockaddr_in Endpoint = endpointOf(Ip, Port);
  if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Endpoint),
                sizeof Endpoint) != 0)
    return nullptr;
  setNoDelay(Descriptor);
  return Result;
}

bool Socket::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Count =
        ::send(Descriptor_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

bool Socket::receive(Clock::time_point Until) {
  pollfd Waiting{Descriptor_, POLLIN, 0};
  if (::poll(&Waiting, 1, millisecondsUntil(Until)) <= 0)
    return false;
  char Bytes[ReadBytes];
  ssize_t Count = ::recv(Descriptor_, Bytes, sizeof Bytes, 0);
  if (Count <= 0)
    return false;
  Buffer_.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

std::optional<std::string> Socket::readUntil(std::string_view Delimiter,
                                             Milliseconds Timeout) {
  Clock::time_point Until = Clock::now() + Timeout;
  std::size_t End = Buffer_.find(Delimiter);
  while (End == std::string::npos) {
    if (!receive(Until))
      return std::nullopt;
    End = Buffer_.find(Delimiter);
  }
  std::string Text = Buffer_.substr(0, End);
  Buffer_.erase(0, End + Delimiter.size());
  return Text;
}

std::optional<std::string> Socket::readBytes(std::size_t Count,
                                             Milliseconds Timeout) {
  Clock::time_point Until = Clock::now() + Timeout;
  while (Buffer_.size() < Count)
    if (!receive(Until))
      return std::nullopt;
  std::string Bytes = Buffer_.substr(0, Count);
  Buffer_.erase(0, Count);
  return Bytes;
}

bool Socket::isReset() const {
  char Byte = 0;
  ssize_t Count = ::recv(Descriptor_, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && errno == ECONNRESET;
}

void Socket::shutdown() { ::shutdown(Descriptor_, SHUT_RDWR); }

Listener::Listener(std::string Ip, Serve Handler) : Ip_(std::move(Ip)) {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Endpoint = endpointOf(Ip_, 0);
  socklen_t Length = sizeof Endpoint;
  if (::bind(Descriptor, reinterpret_cast<sockaddr *>(&Endpoint), Length) !=
          0 ||
      ::listen(Descriptor, Backlog) != 0)
    throw std::runtime_error("can't listen on " + Ip_);
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Endpoint), &Length);
  Port_ = ntohs(Endpoint.sin_port);
  Descriptor_ = Descriptor;
  std::thread([this, Descriptor, Handler = std::move(Handler)] {
    while (true) {
      int Accepted = ::accept4(Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      setNoDelay(Accepted);
      auto Connection = std::make_shared<Socket>(Accepted);
      std::thread([Connection, Handler] { Handler(Connection); }).detach();
    }
  }).detach();
}

Listener::~Listener() { close(); }

void Listener::close() {
  int Descriptor = Descriptor_.exchange(-1);
  if (Descriptor < 0)
    return;
  ::shutdown(Descriptor, SHUT_RDWR);
  ::close(Descriptor);
}

std::uint16_t freePort(const std::string &Ip) {
  for (int Try = 0; Try < 100; ++Try) {
    int Tcp = ::socket(AF_INET, SOCK_STREAM, 0);
    int Udp = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in Endpoint = endpointOf(Ip, 0);
    socklen_t Length = sizeof Endpoint;
    bool Bound =
        ::bind(Tcp, reinterpret_cast<sockaddr *>(&Endpoint), Length) == 0 &&
        ::getsockname(Tcp, reinterpret_cast<sockaddr *>(&Endpoint), &Length) ==
            0 &&
        ::bind(Udp, reinterpret_cast<sockaddr *>(&Endpoint), Length) == 0;
    ::close(Tcp);
    ::close(Udp);
    if (Bound)
      return ntohs(Endpoint.sin_port);
  }
  throw std::runtime_error("no free port on " + Ip);
}

} // namespace review
