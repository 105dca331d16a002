#include "testing/standinplatform/platform.h"
#include "testing/support/program.h"

#include <boost/asio/io_context.hpp>

#include <iostream>

using namespace nutmegloom::testing;

int main(int Argc, char **Argv) {
  std::string Address = "127.0.0.1:0";
  parseOptions(Argc, Argv, {{"address", &Address, "IP:port to serve"}});
  try {
    boost::asio::io_context Io(1);
    const Platform Store(Io, Address);
    runUntilSignal(Io, "ready address=" + Store.address());
  } catch (const std::exception &Error) {
    std::cerr << Argv[0] << ": " << Error.what() << "\n";
    return 1;
  }
}
