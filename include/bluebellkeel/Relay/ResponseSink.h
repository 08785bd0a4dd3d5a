#ifndef BLUEBELLKEEL_RELAY_RESPONSESINK_H
#define BLUEBELLKEEL_RELAY_RESPONSESINK_H

#include "bluebellkeel/Relay/ResponseChunk.h"

namespace bluebellkeel {

/// Receives the chunks of a response.
class response_sink {
public:
  virtual ~response_sink() = default;

  /// Returns false if the caller is gone or too slow; the attempt then ends.
  virtual bool put(const response_chunk &Chunk) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RESPONSESINK_H
