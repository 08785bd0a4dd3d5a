#include "LoadRound.h"

using namespace bluebellkeel;

void load_round::run() {
  auto Owned = Owners.ownedOf(Upstreams.list()->records());
  for (const auto &Upstream : Owned) {
    monotonic_time AskedAt = Clock.monotonicNow();
    auto Report = Reader.read(Upstream);
    if (Report)
      Issuer.noteReport(Upstream.id(), *Report, AskedAt);
  }
}
