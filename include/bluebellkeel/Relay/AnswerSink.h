#ifndef BLUEBELLKEEL_RELAY_ANSWERSINK_H
#define BLUEBELLKEEL_RELAY_ANSWERSINK_H

#include "bluebellkeel/Relay/AnswerChunk.h"

namespace bluebellkeel {

/// Takes the pieces of an answer.
class answer_sink {
public:
  virtual ~answer_sink() = default;

  /// False when the caller is gone or too slow; the attempt then ends.
  virtual bool put(const answer_chunk &Chunk) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ANSWERSINK_H
