#include "core/messages.h"

namespace nutmegloom {

std::string_view nameOf(RequestStep Step) {
  switch (Step) {
  case RequestStep::Statement:
    return "statement";
  case RequestStep::Begin:
    return "begin";
  case RequestStep::TransactionStatement:
    return "transaction_statement";
  case RequestStep::Commit:
    return "commit";
  case RequestStep::Rollback:
    return "rollback";
  case RequestStep::ResolveOutcome:
    return "settle";
  }
  return "invalid";
}

std::string_view nameOf(DatabaseOperation Operation) {
  switch (Operation) {
  case DatabaseOperation::Execute:
    return "execute";
  case DatabaseOperation::Begin:
    return "begin";
  case DatabaseOperation::TransactionStatement:
    return "transaction_statement";
  case DatabaseOperation::Commit:
    return "commit";
  case DatabaseOperation::Rollback:
    return "rollback";
  case DatabaseOperation::CloseKey:
    return "close_key";
  }
  return "invalid";
}

std::string_view nameOf(DatabaseFailureKind Kind) {
  switch (Kind) {
  case DatabaseFailureKind::NotConnected:
    return "not_connected";
  case DatabaseFailureKind::Broken:
    return "broken";
  case DatabaseFailureKind::Malformed:
    return "malformed";
  case DatabaseFailureKind::TermMismatch:
    return "term_mismatch";
  case DatabaseFailureKind::KeyClosed:
    return "key_closed";
  case DatabaseFailureKind::KeyReused:
    return "key_reused";
  case DatabaseFailureKind::StatementFailed:
    return "statement_failed";
  case DatabaseFailureKind::TooManyConnections:
    return "too_many_connections";
  case DatabaseFailureKind::NoTransaction:
    return "no_transaction";
  }
  return "invalid";
}

bool provesNotExecuted(DatabaseFailureKind Kind) {
  return Kind != DatabaseFailureKind::Broken &&
         Kind != DatabaseFailureKind::Malformed;
}

std::string_view nameOf(ControlCommand Command) {
  switch (Command) {
  case ControlCommand::Fence:
    return "fence";
  case ControlCommand::Promote:
    return "promote";
  case ControlCommand::Follow:
    return "follow";
  }
  return "invalid";
}

} // namespace nutmegloom
