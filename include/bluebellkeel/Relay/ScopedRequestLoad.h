#ifndef BLUEBELLKEEL_RELAY_SCOPEDREQUESTLOAD_H
#define BLUEBELLKEEL_RELAY_SCOPEDREQUESTLOAD_H

#include "bluebellkeel/Upstream/LoadTracker.h"

namespace bluebellkeel {

/// Counts one request in an upstream's load for the lifetime of the object.
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

  /// Records that the upstream has processed the prompt.
  void prefillDone() {
    Loads.notePrefillDone(Upstream, Prefill);
    Prefill = 0;
  }

private:
  load_tracker &Loads;
  upstream_id Upstream;
  std::uint64_t Prefill;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SCOPEDREQUESTLOAD_H
