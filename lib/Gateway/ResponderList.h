#ifndef BLUEBELLKEEL_LIB_GATEWAY_RESPONDERLIST_H
#define BLUEBELLKEEL_LIB_GATEWAY_RESPONDERLIST_H

#include "bluebellkeel/Peer/PeerResponder.h"
#include <functional>
#include <vector>

namespace bluebellkeel {

/// Hands each message to its responders in turn, until one answers it.
class responder_list final : public peer_responder {
public:
  explicit responder_list(
      std::vector<std::reference_wrapper<peer_responder>> Responders)
      : Responders(std::move(Responders)) {}

  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override {
    for (peer_responder &Responder : Responders) {
      if (auto Answer = Responder.answer(From, Body))
        return Answer;
    }
    return std::nullopt;
  }

private:
  std::vector<std::reference_wrapper<peer_responder>> Responders;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_RESPONDERLIST_H
