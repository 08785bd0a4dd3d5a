#ifndef BLUEBELLKEEL_LIB_RUNTIME_LOADROUND_H
#define BLUEBELLKEEL_LIB_RUNTIME_LOADROUND_H

#include "OwnerBook.h"
#include "bluebellkeel/Backend/LoadReader.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"
#include "bluebellkeel/Upstream/UpstreamDirectory.h"

namespace bluebellkeel {

/// Asks the owned upstreams for their load. Plain services that report none
/// are taken for warm and idle as long as they can be reached.
class load_round {
public:
  load_round(const time_source &Clock, const owner_book &Owners,
             const upstream_directory &Upstreams, grant_issuer &Issuer,
             load_reader Reader)
      : Clock(Clock), Owners(Owners), Upstreams(Upstreams), Issuer(Issuer),
        Reader(Reader) {}

  void run();

private:
  const time_source &Clock;
  const owner_book &Owners;
  const upstream_directory &Upstreams;
  grant_issuer &Issuer;
  load_reader Reader;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_LOADROUND_H
