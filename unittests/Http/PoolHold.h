#ifndef UNITTESTS_HTTP_POOLHOLD_H
#define UNITTESTS_HTTP_POOLHOLD_H

#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/notification.h"
#include "bluebellkeel/Http/ThreadPool.h"
#include <boost/asio/post.hpp>
#include <memory>

namespace bluebellkeel {

/// Holds all threads of a pool until release(), as a scheduler does that gives
/// them no processor.
class pool_hold {
public:
  /// Returns once all threads are held.
  pool_hold(thread_pool &Pool, std::size_t Threads) {
    absl::BlockingCounter Running(static_cast<int>(Threads));
    for (std::size_t I = 0; I < Threads; ++I)
      boost::asio::post(Pool.context(), [&Running, Released = Released] {
        Running.DecrementCount();
        Released->WaitForNotification();
      });
    Running.Wait();
  }
  ~pool_hold() { release(); }

  void release() {
    if (!Released->HasBeenNotified())
      Released->Notify();
  }

private:
  std::shared_ptr<absl::Notification> Released =
      std::make_shared<absl::Notification>();
};

} // namespace bluebellkeel

#endif // UNITTESTS_HTTP_POOLHOLD_H
