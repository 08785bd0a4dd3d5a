#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMPHASE_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMPHASE_H

#include <string_view>

namespace bluebellkeel {

/// Where an upstream is in its life.
enum class upstream_phase {
  /// Listed, but no load report yet.
  Unknown,
  /// Says that it is cold.
  Cold,
  /// Says that it is warm; its load is raised step by step.
  Warming,
  /// Takes its full load.
  Ready,
  /// Its reports fail.
  Suspect,
  /// The platform says that it will go.
  Draining,
  /// No longer listed.
  Gone,
};

std::string_view toString(upstream_phase Phase);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMPHASE_H
