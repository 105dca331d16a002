#include "testing/standindatabase/journal.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <stdexcept>

namespace nutmegloom::testing {

using nlohmann::json;

json encodeEntry(const LogEntry &Entry) {
  json Body = {{"term", Entry.Term}};
  if (!Entry.Key.empty()) {
    Body["key"] = Entry.Key;
    Body["fingerprint"] = Entry.Fingerprint;
    Body["result"] = Entry.Result;
  }
  if (Entry.Closes)
    Body["closes"] = true;
  if (!Entry.Effects.empty())
    Body["effects"] = Entry.Effects;
  return Body;
}

LogEntry decodeEntry(const json &Body) {
  LogEntry Entry;
  Entry.Term = Body.at("term").get<std::uint64_t>();
  Entry.Key = Body.value("key", "");
  Entry.Fingerprint = Body.value("fingerprint", std::uint64_t(0));
  Entry.Closes = Body.value("closes", false);
  Entry.Result = Body.value("result", "null");
  Entry.Effects =
      Body.value("effects", std::vector<std::pair<std::string, std::string>>());
  return Entry;
}

static json encodeRecord(const JournalRecord &Record) {
  switch (Record.Type) {
  case JournalRecord::Kind::Append:
    return {{"append", encodeEntry(Record.Entry)}};
  case JournalRecord::Kind::Truncate:
    return {{"truncate", Record.Index}};
  case JournalRecord::Kind::Promise:
    return {{"promise", Record.Term}, {"promoter", Record.Text}};
  case JournalRecord::Kind::Role:
    return {{"role", nameOf(Record.Role)}, {"primary_control", Record.Text}};
  }
  return {};
}

static JournalRecord decodeRecord(const json &Body) {
  JournalRecord Record;
  if (Body.contains("append")) {
    Record.Entry = decodeEntry(Body["append"]);
  } else if (Body.contains("truncate")) {
    Record.Type = JournalRecord::Kind::Truncate;
    Record.Index = Body["truncate"].get<std::uint64_t>();
  } else if (Body.contains("promise")) {
    Record.Type = JournalRecord::Kind::Promise;
    Record.Term = Body["promise"].get<std::uint64_t>();
    Record.Text = Body.at("promoter").get<std::string>();
  } else {
    Record.Type = JournalRecord::Kind::Role;
    Record.Role = databaseRoleOf(Body.at("role").get<std::string>())
                      .value_or(DatabaseRole::Unknown);
    Record.Text = Body.at("primary_control").get<std::string>();
  }
  return Record;
}

Journal::Journal(const std::string &Path,
                 const std::function<void(const JournalRecord &)> &Restore) {
  std::uintmax_t CompleteBytes = 0;
  std::ifstream Input(Path, std::ios::binary);
  // getline sets eof for a last line without line feed. Its write was
  // interrupted, so it is left out.
  for (std::string Line; std::getline(Input, Line) && !Input.eof();) {
    Restore(decodeRecord(json::parse(Line)));
    CompleteBytes += Line.size() + 1;
    WasEmpty_ = false;
  }
  Input.close();
  if (std::filesystem::exists(Path))
    std::filesystem::resize_file(Path, CompleteBytes);
  File_.open(Path, std::ios::binary | std::ios::app);
  if (!File_)
    throw std::runtime_error("cannot open journal for writing: " + Path);
}

void Journal::write(const JournalRecord &Record) {
  File_ << encodeRecord(Record).dump() << std::endl;
}

} // namespace nutmegloom::testing
