#ifndef NUTMEGLOOM_PROTOCOL_PACKEDMESSAGE_H
#define NUTMEGLOOM_PROTOCOL_PACKEDMESSAGE_H

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <string>
#include <string_view>

namespace nutmegloom {

/// Serializes a message in the packed encoding of Cap'n Proto.
inline std::string serializePacked(capnp::MessageBuilder &Builder) {
  kj::VectorOutputStream Output;
  capnp::writePackedMessage(Output, Builder);
  auto Bytes = Output.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

/// Parses a packed message and returns the result of Function for its root.
/// LimitWords is the traversal limit, which bounds the work that a malicious
/// message can cause. Throws kj::Exception if Bytes isn't a valid message.
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
