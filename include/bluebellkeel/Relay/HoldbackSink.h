#ifndef BLUEBELLKEEL_RELAY_HOLDBACKSINK_H
#define BLUEBELLKEEL_RELAY_HOLDBACKSINK_H

#include "bluebellkeel/Relay/AnswerSink.h"
#include <optional>

namespace bluebellkeel {

/// Passes the pieces of an answer on, but keeps the final one until it is told
/// that the answer is whole and billed.
class holdback_sink final : public answer_sink {
public:
  explicit holdback_sink(answer_sink &Next) : Next(Next) {}

  bool put(const answer_chunk &Chunk) override {
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
  answer_sink &Next;
  std::optional<answer_chunk> Held;
  bool Released = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_HOLDBACKSINK_H
