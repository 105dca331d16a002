#include "sessions/statementwork.h"

namespace nutmegloom {

bool isInTransaction(const StatementWork &Work) {
  return Work.Pinned || Work.Opens;
}

bool isCommit(const StatementWork &Work) {
  return Work.Writes && (!isInTransaction(Work) || Work.EndsTransaction);
}

/// A transaction whose connection is closed is rolled back by the database;
/// only a commit may have taken effect.
StatementCode codeOfUnanswered(const StatementWork &Work) {
  if (isCommit(Work))
    return StatementCode::InDoubt;
  return isInTransaction(Work) ? StatementCode::Aborted
                               : StatementCode::TimedOut;
}

} // namespace nutmegloom
