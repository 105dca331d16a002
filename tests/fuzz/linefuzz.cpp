#include "platform/linecodec.h"

#include <cstdlib>

using namespace nutmegloom;

/// No line from a caller or a database may crash the codec, and a parsed
/// statement must be forwarded unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  line::CallerMessage Message = line::readCallerMessage(Text);
  if (auto *Statement = std::get_if<CallerStatement>(&Message)) {
    DatabaseCommand Command;
    Command.Id = Statement->Id;
    Command.Text = Statement->Text;
    bool Forwards = Statement->Verb == StatementVerb::Read ||
                    Statement->Verb == StatementVerb::Write;
    std::string Sent = line::writeCommand(Command);
    if (Forwards && !Statement->Id.empty() &&
        Sent != std::string(Text) + "\r\n")
      std::abort();
  }
  line::AnswerReader Reader;
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = std::min(Text.find('\n', At), Text.size());
    if (Reader.add(Text.substr(At, End - At)) ==
        line::AnswerReader::Progress::Complete)
      line::writeAnswer(Reader.take());
    At = End + 1;
  }
  line::readReport(Text);
  return 0;
}
