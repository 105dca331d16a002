#include "protocol/sessiontokenhandler.h"

#include <tuple>

namespace nutmegloom {

static bool isLater(const Position &Left, const Position &Right) {
  return std::tie(Left.Term, Left.Index) > std::tie(Right.Term, Right.Index);
}

SessionTokenHandler::SessionTokenHandler(
    const SessionTokenCodec &Tokens, std::function<std::string()> NewIdentifier)
    : Tokens_(Tokens), NewIdentifier_(std::move(NewIdentifier)) {}

SessionContext SessionTokenHandler::applyToken(std::string_view Token,
                                               CallerRequest &Request) const {
  SessionContext Session;
  Request.Required.reset();
  if (Token.empty())
    return Session;
  auto Decoded = Tokens_.decode(Token);
  if (auto *State = std::get_if<SessionTokenState>(&Decoded)) {
    Session.State = std::move(*State);
    Session.Token = Token;
    Request.Caller = Session.State.SessionId;
  } else {
    // The token may have had positions that can't be read now. With a position
    // of zero a replica could answer with data older than the session's own
    // writes.
    Session.State.Partial = true;
  }
  Request.Required = requiredPosition(Session.State, Request.Group);
  // Without Required and MaximumAge the read goes to the primary.
  if (!Request.Required)
    Request.MaximumAge.reset();
  return Session;
}

std::string SessionTokenHandler::encode(SessionTokenState &State) const {
  // The ID is generated only now, because random numbers are expensive and a
  // request without a token may get none either, for example if it is rejected.
  if (State.SessionId.empty())
    State.SessionId = NewIdentifier_();
  return Tokens_.encode(State);
}

std::string
SessionTokenHandler::responseToken(SessionContext Session, const GroupId &Group,
                                   const CallerAnswer &Answer) const {
  auto &Positions = Session.State.Positions;
  if (Answer.Error == ErrorCode::WriteLost) {
    // This answer reports the lost write to the session. The session's next
    // read of the group goes to the primary and returns a position that exists.
    Positions.erase(Group);
    Session.State.Partial = true;
    return encode(Session.State);
  }
  // Without a new position the token is returned unchanged, so that an answer
  // such as a rejection needs no MAC.
  if (!Answer.Seen || Group.empty())
    return std::move(Session.Token);
  Position &Known = Positions[Group];
  if (!isLater(*Answer.Seen, Known) && !Session.Token.empty())
    return std::move(Session.Token);
  if (isLater(*Answer.Seen, Known))
    Known = *Answer.Seen;
  return encode(Session.State);
}

} // namespace nutmegloom
