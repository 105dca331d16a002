#include "protocol/sessionguard.h"

namespace nutmegloom {

/// Entry in a session's positions that says that the session may have seen
/// positions of groups that the token doesn't name. A session gets it when its
/// token can't be read or when it has lost a write: a position of zero would
/// let a replica answer with data from before the session's own writes.
static const GroupId UnknownHistory = "*";

SessionGuard::SessionGuard(const SessionTokenCodec &Tokens,
                           std::function<std::string()> NewIdentifier)
    : Tokens_(Tokens), NewIdentifier_(std::move(NewIdentifier)) {}

SessionView SessionGuard::open(std::string_view Token,
                               CallerRequest &Request) const {
  SessionView View;
  Request.Required.reset();
  if (Token.empty()) {
    View.State.SessionId = NewIdentifier_();
    return View;
  }
  auto Decoded = Tokens_.decode(Token);
  if (auto *State = std::get_if<SessionState>(&Decoded)) {
    View.State = std::move(*State);
    View.Token = Token;
    Request.Caller = View.State.SessionId;
  } else {
    View.State.SessionId = NewIdentifier_();
    View.State.Positions[UnknownHistory] = {};
  }
  const auto &Positions = View.State.Positions;
  auto Known = Positions.find(Request.Group);
  if (Known != Positions.end())
    Request.Required = Known->second;
  else if (!Positions.contains(UnknownHistory))
    Request.Required = Position();
  else
    // Without a maximum age the read goes to the primary.
    Request.MaximumAge.reset();
  return View;
}

std::string SessionGuard::close(SessionView View, const GroupId &Group,
                                const CallerAnswer &Answer) const {
  auto &Positions = View.State.Positions;
  if (Answer.Error == ErrorCode::WriteLost) {
    // The session has been told. Its next read of the group goes to the
    // primary and gives it a position that exists.
    Positions.erase(Group);
    Positions[UnknownHistory] = {};
    return Tokens_.encode(View.State);
  }
  if (Answer.Seen && !Group.empty()) {
    Position &Known = Positions[Group];
    if (*Answer.Seen > Known)
      Known = *Answer.Seen;
    else if (!View.Token.empty())
      return std::move(View.Token);
    return Tokens_.encode(View.State);
  }
  if (!View.Token.empty())
    return std::move(View.Token);
  return Tokens_.encode(View.State);
}

} // namespace nutmegloom
