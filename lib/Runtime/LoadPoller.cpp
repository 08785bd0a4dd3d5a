#include "LoadPoller.h"

using namespace bluebellkeel;

void load_poller::run() {
  for (const auto &Upstream : Ownership.owned()) {
    monotonic_time RequestedAt = Clock.monotonicNow();
    auto Report = Reader.read(Upstream);
    if (Report)
      Issuer.noteReport(Upstream.id(), *Report, RequestedAt);
  }
}
