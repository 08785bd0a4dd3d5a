#ifndef BLUEBELLKEEL_LIB_HTTP_GIVINGWAY_H
#define BLUEBELLKEEL_LIB_HTTP_GIVINGWAY_H

#include "ConnectionState.h"
#include "Room.h"
#include <vector>

namespace bluebellkeel {

/// How short room is.
enum class shortage {
  /// There is still some left.
  Soon,
  /// Something has to be refused unless others end.
  Now,
  /// A request that has arrived whole has to be refused unless others end.
  ForWholeRequest,
};

/// Decides which connections end when connections, descriptors or memory are
/// short. Age alone does not tell a client that is slow from one that will
/// never end its request, but a pause does:
///
/// 1. connections whose clients have had time to read the last response;
/// 2. stalled requests, the longest pause first; if nothing is left, stalled
///    responses as well, which would be cut;
/// 3. connections that wait for a request, the longest wait first;
/// 4. if nothing is left, requests that are still arriving, the longest pause
///    first. Those that have just begun give way only to whole requests.
class giving_way {
public:
  /// Returns the positions in \p Connections of those to end, in order, so that
  /// they cover \p Needed together with those that give way already.
  static std::vector<std::size_t>
  choose(const std::vector<connection_state> &Connections, shortage Shortage,
         const room &Needed, monotonic_time Now);

  /// Returns the room of the connections that end soon in any case: those that
  /// give way already and those that have got their last response.
  static room pending(const std::vector<connection_state> &Connections);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_GIVINGWAY_H
