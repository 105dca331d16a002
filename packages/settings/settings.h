#ifndef NUTMEGLOOM_SETTINGS_SETTINGS_H
#define NUTMEGLOOM_SETTINGS_SETTINGS_H

#include "core/siteconfiguration.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace nutmegloom {

/// One reason why settings were refused.
struct SettingsError {
  /// File, or the overlay's site, or "head".
  std::string File;
  /// Path of the value, as in "services.salas-db.groups[1]". Empty for an
  /// error of syntax, whose message names line and column.
  std::string Path;
  /// The value, what is wrong with it and what is allowed.
  std::string Message;
};
using SettingsErrors = std::vector<SettingsError>;
/// "file: path: message".
std::string describe(const SettingsError &Error);

/// A key for the MAC of session tokens.
struct TokenKey {
  std::string Id;
  /// At least 16 bytes.
  std::string Secret;
};

/// Everything that a host needs to know of the configuration of its site.
struct SiteSettings {
  SiteConfiguration Configuration;
  std::vector<TokenKey> TokenKeys;
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1048576;
  std::size_t Connections = 4096;
  /// A connection without a whole request for this long is closed.
  Milliseconds RequestReadTimeout{10000};
  std::string LogLevel = "info";
  /// Callers' port of every host: with the IP of a host's peer address it
  /// gives the address of the host's status.
  std::uint16_t CallerPort = 8080;
};

/// Settings of one host: from a small file and the command line.
struct HostSettings {
  HostName Name;
  std::string Site;
  ZoneName Zone;
  RegionName Region;
  /// "IP:port" each.
  std::string CallerAddress;
  std::string PeerAddress;
  std::string PlatformAddress;
  /// Peer addresses that are asked at start when the store is away.
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
  /// "base" and the sites whose overlays changed.
  std::vector<std::string> Changed;
};

/// The configuration of the whole deployment, as it is stored in one object.
struct ConfigurationHead {
  std::uint64_t Version = 0;
  std::string EditId;
  /// Text of the base file, with its comments.
  std::string Base;
  /// Text of each site's overlay.
  std::map<std::string, std::string> Overlays;
  /// Latest edits, newest first.
  std::vector<ConfigurationEdit> History;
};

/// Values from the command line, which replace those of the host's file.
struct HostOverrides {
  /// By the setting's name, as in "peer_address".
  std::map<std::string, std::string> Values;
  std::vector<std::string> Seeds;
};

/// Parses a host's file; "{}" when all values come from the command line.
std::variant<HostSettings, SettingsErrors>
parseHostSettings(const std::string &Text, const std::string &File,
                  const HostOverrides &Overrides = {});

std::variant<ConfigurationHead, SettingsErrors>
parseHead(const std::string &Text);
std::string serializeHead(const ConfigurationHead &Head);

/// Merges the overlay of the site over the base and checks the result.
std::variant<SiteSettings, SettingsErrors>
loadSite(const ConfigurationHead &Head, const std::string &Site);

/// Checks the base and all overlays together. Empty: all is well.
SettingsErrors checkHead(const ConfigurationHead &Head);

/// Checks that hosts may go from one valid head to the next while they serve.
SettingsErrors checkSuccessor(const ConfigurationHead &Previous,
                              const ConfigurationHead &Next);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_SETTINGS_H
