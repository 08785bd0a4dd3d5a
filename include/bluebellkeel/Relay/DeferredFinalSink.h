#ifndef BLUEBELLKEEL_RELAY_DEFERREDFINALSINK_H
#define BLUEBELLKEEL_RELAY_DEFERREDFINALSINK_H

#include "bluebellkeel/Relay/ResponseSink.h"
#include <optional>

namespace bluebellkeel {

/// Forwards the chunks of a response, but holds back the final chunk until
/// release(), which follows once the response is complete and billed.
class deferred_final_sink final : public response_sink {
public:
  explicit deferred_final_sink(response_sink &Next) : Next(Next) {}

  bool put(const response_chunk &Chunk) override {
    if (Chunk.isFinal()) {
      FinalChunk = Chunk;
      return true;
    }
    Released = true;
    return Next.put(Chunk);
  }

  /// Forwards the final chunk. Returns false if the caller is gone.
  bool release() { return !FinalChunk || Next.put(*FinalChunk); }

  /// True once a chunk has been sent to the caller; the request can then no
  /// longer be retried.
  bool released() const { return Released; }

private:
  response_sink &Next;
  std::optional<response_chunk> FinalChunk;
  bool Released = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_DEFERREDFINALSINK_H
