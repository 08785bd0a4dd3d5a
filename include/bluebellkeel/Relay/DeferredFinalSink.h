#ifndef BLUEBELLKEEL_RELAY_DEFERREDFINALSINK_H
#define BLUEBELLKEEL_RELAY_DEFERREDFINALSINK_H

#include "bluebellkeel/Relay/ResponseSink.h"
#include <optional>

namespace bluebellkeel {

/// Passes the pieces of an answer on, but keeps the final one until it is told
/// that the answer is whole and billed.
class deferred_final_sink final : public response_sink {
public:
  explicit deferred_final_sink(response_sink &Next) : Next(Next) {}

  bool put(const response_chunk &Chunk) override {
    if (Chunk.isFinal()) {
      Held = Chunk;
      return true;
    }
    Released = true;
    return Next.put(Chunk);
  }

  /// Passes the final piece on.
  bool release() { return !Held || Next.put(*Held); }

  /// True once the caller has been sent a piece; the answer can then no
  /// longer be started again.
  bool released() const { return Released; }

private:
  response_sink &Next;
  std::optional<response_chunk> Held;
  bool Released = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_DEFERREDFINALSINK_H
