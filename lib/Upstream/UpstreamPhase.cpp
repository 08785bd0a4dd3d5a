#include "bluebellkeel/Upstream/UpstreamPhase.h"

using namespace bluebellkeel;

std::string_view bluebellkeel::toString(upstream_phase Phase) {
  switch (Phase) {
  case upstream_phase::Unknown:
    return "unknown";
  case upstream_phase::Cold:
    return "cold";
  case upstream_phase::Warming:
    return "warming";
  case upstream_phase::Ready:
    return "ready";
  case upstream_phase::Suspect:
    return "suspect";
  case upstream_phase::Draining:
    return "draining";
  case upstream_phase::Gone:
    return "gone";
  }
  return "";
}
