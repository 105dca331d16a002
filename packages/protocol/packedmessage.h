#ifndef NUTMEGLOOM_PROTOCOL_PACKEDMESSAGE_H
#define NUTMEGLOOM_PROTOCOL_PACKEDMESSAGE_H

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <string>
#include <string_view>

namespace nutmegloom {

/// The bytes of a message.
inline std::string serializePacked(capnp::MessageBuilder &Builder) {
  kj::VectorOutputStream Output;
  capnp::writePackedMessage(Output, Builder);
  auto Bytes = Output.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

/// Reads the message in Bytes with the function. LimitWords: what a received
/// message may make the reader walk through. Throws kj::Exception for bytes
/// that are no message.
template <typename Root, typename Read>
auto readPackedMessage(std::string_view Bytes, std::uint64_t LimitWords,
                       Read Function) {
  kj::ArrayInputStream Input(kj::arrayPtr(
      reinterpret_cast<const kj::byte *>(Bytes.data()), Bytes.size()));
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = LimitWords;
  capnp::PackedMessageReader Reader(Input, Options);
  return Function(Reader.getRoot<Root>());
}

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PACKEDMESSAGE_H
