#ifndef TEST_SOAK_FAULTPROXY_H
#define TEST_SOAK_FAULTPROXY_H

#include "LinkMode.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/ThreadPool.h"
#include <memory>

namespace bluebellkeel {

/// TCP proxy to a target on loopback that injects the faults of its link mode.
/// Thread-safe.
class fault_proxy {
public:
  /// \throws std::runtime_error if \p Listen cannot be bound.
  fault_proxy(thread_pool &Pool, const network_address &Listen,
              const network_address &Target);

  void set(link_mode Mode);

private:
  class impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_FAULTPROXY_H
