#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMPHASE_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMPHASE_H

#include <string_view>

namespace bluebellkeel {

/// Phase in the lifecycle of an upstream.
enum class upstream_phase {
  /// Listed, without a load report yet.
  Unknown,
  /// Reports that it is cold.
  Cold,
  /// Reports that it is warm; its load is raised step by step.
  Warming,
  /// Takes its full load.
  Ready,
  /// Its load reports are missing.
  Suspect,
  /// The platform lists it as leaving.
  Draining,
  /// No longer listed.
  Gone,
};

std::string_view toString(upstream_phase Phase);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMPHASE_H
