#include "sessions/statementwork.h"

namespace nutmegloom {

bool isInTransaction(const StatementWork &Work) {
  return Work.Pinned || Work.Opens;
}

bool isCommit(const StatementWork &Work) {
  return Work.Writes && (!isInTransaction(Work) || Work.EndsTransaction);
}

/// An open transaction whose connection is given up is rolled back; only a
/// commit may have been kept.
StatementCode codeOfUnanswered(const StatementWork &Work) {
  if (isCommit(Work))
    return StatementCode::InDoubt;
  return isInTransaction(Work) ? StatementCode::Aborted
                               : StatementCode::TimedOut;
}

} // namespace nutmegloom
