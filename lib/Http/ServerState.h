#ifndef BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H
#define BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H

#include <atomic>
#include <cstddef>

namespace bluebellkeel {

/// What the connections of a server share.
struct server_state {
  std::atomic<std::size_t> Connections{0};
  std::atomic<std::size_t> Active{0};
  std::atomic<bool> Draining{false};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H
