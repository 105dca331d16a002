#include "nutmegloomctl/configurationfiles.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace nutmegloom {

namespace {

namespace fs = std::filesystem;

constexpr const char *Extension = ".jsonc";
/// The head must be smaller than 1 MB, so none of its files can be larger.
constexpr std::uintmax_t MaximumFileBytes = 1000000;

class FileReader {
public:
  void readFolder(const fs::path &Folder) {
    const fs::path Base = Folder / ("base" + std::string(Extension));
    if (fs::exists(Base))
      readFile(Base);
    std::vector<fs::path> Overlays;
    std::error_code Error;
    for (fs::directory_iterator Entry(Folder / "overlays", Error), End;
         !Error && Entry != End; Entry.increment(Error))
      if (Entry->path().extension() == Extension)
        Overlays.push_back(Entry->path());
    std::sort(Overlays.begin(), Overlays.end());
    for (const fs::path &Path : Overlays)
      readFile(Path);
    if (!fs::exists(Base) && Overlays.empty())
      addError(Folder, "the folder holds neither base.jsonc nor "
                       "overlays/SITE.jsonc");
  }

  void readFile(const fs::path &Path) {
    std::error_code Error;
    const auto Size = fs::file_size(Path, Error);
    if (Error) {
      addError(Path, "can't be read: " + Error.message());
      return;
    }
    if (Size > MaximumFileBytes) {
      addError(Path, "the file has " + std::to_string(Size) +
                         " bytes; the maximum is " +
                         std::to_string(MaximumFileBytes));
      return;
    }
    std::ifstream File(Path, std::ios::binary);
    std::ostringstream Text;
    Text << File.rdbuf();
    if (!File) {
      addError(Path, "can't be read");
      return;
    }
    const std::string Name = Path.stem().string();
    if (Path.extension() != Extension) {
      addError(Path, "the file name must be base.jsonc or SITE.jsonc");
      return;
    }
    if (!Files.Paths.emplace(Name, Path.string()).second) {
      addError(Path, "\"" + Name + "\" is also in " + Files.Paths[Name] +
                         "; specify only one of the files");
      return;
    }
    if (Name == "base")
      Files.Base = Text.str();
    else
      Files.Overlays[Name] = Text.str();
  }

  void addError(const fs::path &Path, std::string Message) {
    Errors.push_back({Path.string(), "", std::move(Message)});
  }

  ConfigurationFiles Files;
  SettingsErrors Errors;
};

} // namespace

std::variant<ConfigurationFiles, SettingsErrors>
readConfigurationFiles(const std::vector<std::string> &Paths) {
  FileReader Reader;
  for (const std::string &Path : Paths) {
    std::error_code Error;
    if (fs::is_directory(Path, Error))
      Reader.readFolder(Path);
    else
      Reader.readFile(Path);
  }
  if (!Reader.Errors.empty())
    return Reader.Errors;
  return Reader.Files;
}

SettingsErrors withPaths(SettingsErrors Errors,
                         const ConfigurationFiles &Files) {
  for (SettingsError &Error : Errors) {
    const auto Path = Files.Paths.find(Error.File);
    if (Path != Files.Paths.end())
      Error.File = Path->second;
  }
  return Errors;
}

} // namespace nutmegloom
