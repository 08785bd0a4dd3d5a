#ifndef BLUEBELLKEEL_HTTP_CLOSECONNECTIONS_H
#define BLUEBELLKEEL_HTTP_CLOSECONNECTIONS_H

#include "bluebellkeel/Http/StoppableServer.h"

namespace bluebellkeel {

/// Closes the connections of a server after its drain(): those without a
/// request at once, the others after their responses. Blocks until all are
/// closed, until \p End at the latest.
///
/// \param RestBy when requests that have arrived in part only are refused.
void closeConnections(stoppable_server &Server, monotonic_time RestBy,
                      monotonic_time End);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_CLOSECONNECTIONS_H
