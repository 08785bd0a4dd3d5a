#ifndef BLUEBELLKEEL_LIB_PEER_UNKNOWNCONNECTIONS_H
#define BLUEBELLKEEL_LIB_PEER_UNKNOWNCONNECTIONS_H

#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace bluebellkeel {

/// The incoming connections that have not sent a message signed by a peer yet.
/// Anyone may open them, so their number, their age and the size of their
/// messages are limited. Not thread-safe.
class unknown_connections {
public:
  using handle = std::weak_ptr<void>;

  /// Maximum number of connections at a time. With the largest messages they
  /// hold 8 MB.
  static constexpr std::size_t MaxConnections = 128;
  /// Maximum size of a message, in bytes.
  static constexpr std::size_t MaxMessageBytes = 32UL * 1024;
  /// Age from which a connection gives way to a new one. A peer sends its first
  /// message as soon as its connection is open.
  static constexpr milliseconds MinAge{300};
  /// Age at which a connection is closed in any case.
  static constexpr milliseconds MaxAge{2000};

  /// Adds a connection that was opened at \p Now. Returns a connection to close
  /// if there are too many: the oldest if it is old enough to give way, and
  /// otherwise the new one.
  std::optional<handle> add(const handle &Connection, monotonic_time Now);
  /// Removes a connection that has closed or is known now. Returns false if it
  /// was not among the unknown ones.
  bool remove(const handle &Connection);
  /// Removes and returns the connections that have to be closed at \p Now.
  std::vector<handle> takeExpired(monotonic_time Now);

  std::size_t size() const { return Connections.size(); }

private:
  /// The oldest first.
  std::list<std::pair<handle, monotonic_time>> Connections;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_PEER_UNKNOWNCONNECTIONS_H
