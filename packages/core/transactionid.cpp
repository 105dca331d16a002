#include "core/transactionid.h"

namespace nutmegloom {

// The identifier contains the group, so that any host can resolve the outcome
// of a commit after the owner of the transaction has failed.

static constexpr std::string_view HexDigits = "0123456789abcdef";

std::string makeTransactionId(const HostName &Owner, const GroupId &Group,
                              const std::string &Unique) {
  std::string Id = Owner + "." + Unique + "-";
  for (const char Each : Group) {
    const auto Byte = static_cast<unsigned char>(Each);
    Id += HexDigits[Byte >> 4];
    Id += HexDigits[Byte & 15];
  }
  return Id;
}

std::optional<TransactionIdParts> parseTransactionId(std::string_view Id) {
  // Host names may contain dots; the rest of the identifier does not.
  const std::size_t Dot = Id.rfind('.');
  const std::size_t Dash = Id.rfind('-');
  if (Dot == std::string_view::npos || Dash == std::string_view::npos ||
      Dot == 0 || Dash < Dot || (Id.size() - Dash) % 2 == 0)
    return std::nullopt;
  TransactionIdParts Parts;
  Parts.Owner = Id.substr(0, Dot);
  for (std::size_t At = Dash + 1; At < Id.size(); At += 2) {
    const std::size_t High = HexDigits.find(Id[At]);
    const std::size_t Low = HexDigits.find(Id[At + 1]);
    if (High == std::string_view::npos || Low == std::string_view::npos)
      return std::nullopt;
    Parts.Group += static_cast<char>(High << 4 | Low);
  }
  if (Parts.Group.empty())
    return std::nullopt;
  return Parts;
}

} // namespace nutmegloom
