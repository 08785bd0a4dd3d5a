#ifndef BLUEBELLKEEL_RELAY_SCOPEDREQUESTLOAD_H
#define BLUEBELLKEEL_RELAY_SCOPEDREQUESTLOAD_H

#include "bluebellkeel/Upstream/LoadTracker.h"

namespace bluebellkeel {

/// Counts one request at an upstream for as long as it lives.
class scoped_request_load {
public:
  scoped_request_load(load_tracker &Loads, upstream_id Upstream,
                      std::uint64_t Prefill)
      : Loads(Loads), Upstream(std::move(Upstream)), Prefill(Prefill) {
    Loads.noteSent(this->Upstream, Prefill);
  }
  scoped_request_load(const scoped_request_load &) = delete;
  scoped_request_load &operator=(const scoped_request_load &) = delete;
  ~scoped_request_load() {
    prefillDone();
    Loads.noteEnded(Upstream);
  }

  /// The upstream has read the prompt.
  void prefillDone() {
    Loads.noteBegun(Upstream, Prefill);
    Prefill = 0;
  }

private:
  load_tracker &Loads;
  upstream_id Upstream;
  std::uint64_t Prefill;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SCOPEDREQUESTLOAD_H
