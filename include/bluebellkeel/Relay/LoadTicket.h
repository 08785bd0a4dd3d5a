#ifndef BLUEBELLKEEL_RELAY_LOADTICKET_H
#define BLUEBELLKEEL_RELAY_LOADTICKET_H

#include "bluebellkeel/Upstream/LoadBook.h"

namespace bluebellkeel {

/// Counts one request at an upstream for as long as it lives.
class load_ticket {
public:
  load_ticket(load_book &Loads, upstream_id Upstream, std::uint64_t Prefill)
      : Loads(Loads), Upstream(std::move(Upstream)), Prefill(Prefill) {
    Loads.noteSent(this->Upstream, Prefill);
  }
  load_ticket(const load_ticket &) = delete;
  load_ticket &operator=(const load_ticket &) = delete;
  ~load_ticket() {
    begun();
    Loads.noteEnded(Upstream);
  }

  /// The upstream has read the prompt.
  void begun() {
    Loads.noteBegun(Upstream, Prefill);
    Prefill = 0;
  }

private:
  load_book &Loads;
  upstream_id Upstream;
  std::uint64_t Prefill;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_LOADTICKET_H
