#ifndef BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H
#define BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H

#include "GivingWay.h"
#include "InterruptibleStream.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include <atomic>
#include <cstddef>
#include <memory>
#include <set>

namespace bluebellkeel {

/// State shared by all connections of a server.
class server_state {
public:
  std::atomic<bool> Draining{false};

  /// Counts a connection as open until remove().
  void add(const std::shared_ptr<interruptible_stream> &Connection);
  void remove(const std::shared_ptr<interruptible_stream> &Connection);
  std::size_t connections() const;
  /// Makes connections give way until those that do cover \p Needed. Returns
  /// the room of all that give way and have not ended yet.
  room giveWay(shortage Shortage, const room &Needed);
  /// While a server listens, further connections may come.
  void setListening(bool NewListening);
  /// Ends the wait of each connection for its next request.
  void closeIdle();
  /// Ends the reads of all connections, also in the middle of a request.
  void endReads();
  /// Blocks until the server does not listen and no connection is open,
  /// \p Limit has elapsed or endWait() was called. Returns true if no
  /// connection is open.
  bool awaitClosed(milliseconds Limit) const;

  /// Counts a request as active until endRequest().
  void beginRequest();
  void endRequest();
  std::size_t active() const;
  /// Blocks until no request is active, \p Limit has elapsed or endWait() was
  /// called. Returns true if no request is active.
  bool awaitIdle(milliseconds Limit) const;
  /// Makes all waits return at once.
  void endWait();

private:
  bool idleOrWaitEnded() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return Active == 0 || WaitEnded;
  }
  bool closed() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return !Listening && Connections.empty();
  }
  bool closedOrWaitEnded() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return closed() || WaitEnded;
  }

  mutable absl::Mutex Mutex;
  std::set<std::shared_ptr<interruptible_stream>>
      Connections ABSL_GUARDED_BY(Mutex);
  std::size_t Active ABSL_GUARDED_BY(Mutex) = 0;
  bool Listening ABSL_GUARDED_BY(Mutex) = false;
  bool ClosingIdle ABSL_GUARDED_BY(Mutex) = false;
  bool EndingReads ABSL_GUARDED_BY(Mutex) = false;
  bool WaitEnded ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H
