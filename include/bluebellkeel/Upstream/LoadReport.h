#ifndef BLUEBELLKEEL_UPSTREAM_LOADREPORT_H
#define BLUEBELLKEEL_UPSTREAM_LOADREPORT_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Upstream/LoadAmount.h"
#include <tuple>

namespace bluebellkeel {

/// An upstream's report of its own load; may be outdated.
class load_report : public comparable<load_report> {
public:
  load_report() = default;
  load_report(bool Warm, load_amount Load) : Warm(Warm), Load(Load) {}

  /// False after a start, until the upstream can take its full load.
  bool warm() const { return Warm; }
  const load_amount &load() const { return Load; }
  auto key() const { return std::tie(Warm, Load); }

private:
  bool Warm = false;
  load_amount Load;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADREPORT_H
