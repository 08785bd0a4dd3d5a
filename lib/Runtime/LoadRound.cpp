#include "LoadRound.h"

using namespace bluebellkeel;

void load_round::run() {
  for (const auto &Upstream : Ownership.owned()) {
    monotonic_time AskedAt = Clock.monotonicNow();
    auto Report = Reader.read(Upstream);
    if (Report)
      Issuer.noteReport(Upstream.id(), *Report, AskedAt);
  }
}
