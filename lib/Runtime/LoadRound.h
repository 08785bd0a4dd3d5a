#ifndef BLUEBELLKEEL_LIB_RUNTIME_LOADROUND_H
#define BLUEBELLKEEL_LIB_RUNTIME_LOADROUND_H

#include "OwnershipRound.h"
#include "bluebellkeel/Backend/LoadReader.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"

namespace bluebellkeel {

/// Asks the owned upstreams for their load.
class load_round {
public:
  load_round(const time_source &Clock, const ownership_round &Ownership,
             grant_issuer &Issuer, load_reader Reader)
      : Clock(Clock), Ownership(Ownership), Issuer(Issuer), Reader(Reader) {}

  void run();

private:
  const time_source &Clock;
  const ownership_round &Ownership;
  grant_issuer &Issuer;
  load_reader Reader;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_LOADROUND_H
