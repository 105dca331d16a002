#ifndef NUTMEGLOOM_CORE_TRANSACTIONID_H
#define NUTMEGLOOM_CORE_TRANSACTIONID_H

#include "core/types.h"

namespace nutmegloom {

/// What the id of an interactive transaction tells: "<owner host>.<identifier>"
/// where the identifier is a unique part and the group in hexadecimal digits.
struct TransactionIdParts {
  HostName Owner;
  GroupId Group;
};

std::string makeTransactionId(const HostName &Owner, const GroupId &Group,
                              const std::string &Unique);
/// Nothing for a text that isn't a transaction id.
std::optional<TransactionIdParts> parseTransactionId(std::string_view Id);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TRANSACTIONID_H
