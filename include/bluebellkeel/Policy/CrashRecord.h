#ifndef BLUEBELLKEEL_POLICY_CRASHRECORD_H
#define BLUEBELLKEEL_POLICY_CRASHRECORD_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include <map>
#include <tuple>

namespace bluebellkeel {

/// A blocked request with the crashes that block it, as the log keeps it.
class crash_record : public comparable<crash_record> {
public:
  using crash_map = std::map<upstream_id, wall_time>;

  crash_record(fingerprint Request, crash_map Crashes)
      : Request(std::move(Request)), Crashes(std::move(Crashes)) {}

  const fingerprint &request() const { return Request; }
  /// Returns the time of the crash of each upstream.
  const crash_map &crashes() const { return Crashes; }
  auto key() const { return std::tie(Request, Crashes); }

private:
  fingerprint Request;
  crash_map Crashes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHRECORD_H
