#ifndef NUTMEGLOOM_CORE_TRANSACTIONID_H
#define NUTMEGLOOM_CORE_TRANSACTIONID_H

#include "core/types.h"

namespace nutmegloom {

/// Content of a transaction identifier, which has the form "<owner
/// host>.<unique part>-<group in hexadecimal digits>".
struct TransactionIdParts {
  HostName Owner;
  GroupId Group;
};

std::string makeTransactionId(const HostName &Owner, const GroupId &Group,
                              const std::string &Unique);
/// Returns std::nullopt if the text is not a transaction identifier.
std::optional<TransactionIdParts> parseTransactionId(std::string_view Id);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TRANSACTIONID_H
