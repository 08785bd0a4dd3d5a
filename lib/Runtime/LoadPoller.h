#ifndef BLUEBELLKEEL_LIB_RUNTIME_LOADPOLLER_H
#define BLUEBELLKEEL_LIB_RUNTIME_LOADPOLLER_H

#include "OwnershipUpdater.h"
#include "bluebellkeel/Backend/LoadReader.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"

namespace bluebellkeel {

/// Polls the owned upstreams for their load.
class load_poller {
public:
  load_poller(const time_source &Clock, const ownership_updater &Ownership,
              grant_issuer &Issuer, load_reader Reader)
      : Clock(Clock), Ownership(Ownership), Issuer(Issuer), Reader(Reader) {}

  void run();

private:
  const time_source &Clock;
  const ownership_updater &Ownership;
  grant_issuer &Issuer;
  load_reader Reader;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_LOADPOLLER_H
