#ifndef REVIEW_STANDINS_STREAMS_H
#define REVIEW_STANDINS_STREAMS_H

#include "Connection.h"
#include "Record.h"

namespace review {

/// Head of a streamed answer to \p Request, in chunks.
std::string streamHead(const message &Request);
/// The event \p Number as a chunk.
std::string streamEvent(int Number);
/// End of a streamed answer.
constexpr std::string_view StreamEnd = "0\r\n\r\n";

/// Answers with \p Events events, as a sound runner does.
void answerStream(connection &Connection, const message &Request, int Events,
                  milliseconds Interval);

} // namespace review

#endif // REVIEW_STANDINS_STREAMS_H
