#include "LoadPoller.h"

using namespace bluebellkeel;

void load_poller::run() {
  for (const auto &Upstream : Ownership.owned()) {
    monotonic_time AskedAt = Clock.monotonicNow();
    auto Report = Reader.read(Upstream);
    if (Report)
      Issuer.noteReport(Upstream.id(), *Report, AskedAt);
  }
}
