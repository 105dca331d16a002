#include "protocol/sessionguard.h"

#include <tuple>

namespace nutmegloom {

static bool isLater(const Position &Left, const Position &Right) {
  return std::tie(Left.Term, Left.Index) > std::tie(Right.Term, Right.Index);
}

SessionGuard::SessionGuard(const SessionTokenCodec &Tokens,
                           std::function<std::string()> NewIdentifier)
    : Tokens_(Tokens), NewIdentifier_(std::move(NewIdentifier)) {}

SessionView SessionGuard::open(std::string_view Token,
                               CallerRequest &Request) const {
  SessionView View;
  Request.Required.reset();
  if (Token.empty())
    return View;
  auto Decoded = Tokens_.decode(Token);
  if (auto *State = std::get_if<SessionTokenState>(&Decoded)) {
    View.State = std::move(*State);
    View.Token = Token;
    Request.Caller = View.State.SessionId;
  } else {
    // The session may have positions that can't be read: a position of zero
    // would let a replica answer with data from before its own writes.
    View.State.Partial = true;
  }
  Request.Required = requiredPosition(View.State, Request.Group);
  // Without a maximum age the read goes to the primary.
  if (!Request.Required)
    Request.MaximumAge.reset();
  return View;
}

std::string SessionGuard::encode(SessionTokenState &State) const {
  // Made here and not before, because a request without a token may get none
  // either, for example when it is refused; randomness is not cheap.
  if (State.SessionId.empty())
    State.SessionId = NewIdentifier_();
  return Tokens_.encode(State);
}

std::string SessionGuard::close(SessionView View, const GroupId &Group,
                                const CallerAnswer &Answer) const {
  auto &Positions = View.State.Positions;
  if (Answer.Error == ErrorCode::WriteLost) {
    // The session has been told. Its next read of the group goes to the
    // primary and gives it a position that exists.
    Positions.erase(Group);
    View.State.Partial = true;
    return encode(View.State);
  }
  // Without a new position the old token stays as it is, so an answer such as
  // a refusal costs no MAC.
  if (!Answer.Seen || Group.empty())
    return std::move(View.Token);
  Position &Known = Positions[Group];
  if (!isLater(*Answer.Seen, Known) && !View.Token.empty())
    return std::move(View.Token);
  if (isLater(*Answer.Seen, Known))
    Known = *Answer.Seen;
  return encode(View.State);
}

} // namespace nutmegloom
