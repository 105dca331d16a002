#ifndef NUTMEGLOOM_SETTINGS_SETTINGS_H
#define NUTMEGLOOM_SETTINGS_SETTINGS_H

#include "core/siteconfiguration.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace nutmegloom {

/// One reason why settings are invalid.
struct SettingsError {
  /// File name, "base", the site of an overlay, or "head".
  std::string File;
  /// Path of the value, such as "services.salas-db.groups[1]". Empty for a
  /// syntax error, whose message contains line and column.
  std::string Path;
  /// The value, the reason, and the allowed values.
  std::string Message;
};
using SettingsErrors = std::vector<SettingsError>;
/// Formats an error as "file: path: message", without an empty path.
std::string describe(const SettingsError &Error);

/// Key for the message authentication code of session tokens.
struct TokenKey {
  std::string Id;
  /// At least 16 bytes.
  std::string Secret;
};

/// Configuration of one site, as its hosts use it.
struct SiteSettings {
  SiteConfiguration Configuration;
  std::vector<TokenKey> TokenKeys;
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1048576;
  std::size_t Connections = 4096;
  /// A connection that has not received a complete request within this time is
  /// closed.
  Milliseconds RequestReadTimeout{10000};
  std::string LogLevel = "info";
  /// Port for callers on every host. Together with the IP of a host's peer
  /// address it is the address of the host's status page.
  std::uint16_t CallerPort = 8080;
};

/// Settings of one host, from the host's file and the command line.
struct HostSettings {
  HostName Name;
  std::string Site;
  ZoneName Zone;
  RegionName Region;
  /// Addresses in the form "IP:port".
  std::string CallerAddress;
  std::string PeerAddress;
  std::string PlatformAddress;
  /// Peer addresses to query at start if the store is unreachable.
  std::vector<std::string> Seeds;
};

/// One accepted edit of the configuration.
struct ConfigurationEdit {
  std::uint64_t Version = 0;
  std::string EditId;
  std::string Editor;
  /// RFC 3339 time in UTC.
  std::string EditedAt;
  std::string Comment;
  /// Changed files: "base" or the site of an overlay.
  std::vector<std::string> Changed;
};

/// Latest configuration of the whole deployment. The store keeps it in one
/// object.
struct ConfigurationHead {
  std::uint64_t Version = 0;
  std::string EditId;
  /// Text of the base file, including its comments.
  std::string Base;
  /// Text of the overlay of each site that has one.
  std::map<std::string, std::string> Overlays;
  /// Most recent edits, newest first.
  std::vector<ConfigurationEdit> History;
};

/// Values from the command line, which take precedence over the host's file.
struct HostOverrides {
  /// Values by the name of the setting, such as "peer_address".
  std::map<std::string, std::string> Values;
  std::vector<std::string> Seeds;
};

/// Parses a host's file. Text is "{}" if all values come from the command line.
std::variant<HostSettings, SettingsErrors>
parseHostSettings(const std::string &Text, const std::string &File,
                  const HostOverrides &Overrides = {});

/// Parses the JSON text of a stored head. Does not check the files in it.
std::variant<ConfigurationHead, SettingsErrors>
parseHead(const std::string &Text);
std::string serializeHead(const ConfigurationHead &Head);

/// Merges the site's overlay, if there is one, into the base and checks the
/// result.
std::variant<SiteSettings, SettingsErrors>
loadSite(const ConfigurationHead &Head, const std::string &Site);

/// Checks the base and all overlays. Returns no errors if they are valid.
SettingsErrors checkHead(const ConfigurationHead &Head);

/// Checks that hosts can switch from one head to the next while they serve.
/// Returns no errors if either head is invalid.
SettingsErrors checkSuccessor(const ConfigurationHead &Previous,
                              const ConfigurationHead &Next);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_SETTINGS_H
