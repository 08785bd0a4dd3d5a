#ifndef BLUEBELLKEEL_HTTP_STOPPABLESERVER_H
#define BLUEBELLKEEL_HTTP_STOPPABLESERVER_H

#include "bluebellkeel/Core/Time.h"
#include <cstddef>

namespace bluebellkeel {

/// A server whose requests can be brought to an end.
class stoppable_server {
public:
  virtual ~stoppable_server() = default;

  /// Closes each connection after its next response; new connections are still
  /// accepted.
  virtual void disableKeepAlive() = 0;

  /// Returns the number of requests that are being handled.
  virtual std::size_t active() const = 0;
  /// Returns the number of open connections.
  virtual std::size_t connections() const = 0;

  /// Blocks until no request is being handled or \p Limit has elapsed. Returns
  /// true if no request is being handled.
  virtual bool awaitIdle(milliseconds Limit) const = 0;

  /// Stops accepting connections, except for those that wait to be accepted,
  /// and closes each open connection after its next response.
  virtual void drain() = 0;

  /// Closes connections on which no request has arrived; requests that have
  /// arrived, also in part, are still handled. Called after drain().
  virtual void closeIdle() = 0;

  /// Refuses the requests that have arrived in part only.
  virtual void refuseIncomplete() = 0;

  /// Blocks until all connections are closed after drain(), or \p Limit has
  /// elapsed. Returns true if they are closed. Unlike an idle server, a closed
  /// one gets no further request.
  virtual bool awaitClosed(milliseconds Limit) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_STOPPABLESERVER_H
