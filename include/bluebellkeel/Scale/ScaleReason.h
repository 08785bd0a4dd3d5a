#ifndef BLUEBELLKEEL_SCALE_SCALEREASON_H
#define BLUEBELLKEEL_SCALE_SCALEREASON_H

#include <string_view>

namespace bluebellkeel {

/// Why a number of upstreams is ordered.
enum class scale_reason {
  /// More work than the present number should get.
  MoreWork,
  /// Less work for longer than a wave.
  LessWork,
  /// Upstreams that were ordered are missing.
  Lost,
  /// A policy that doesn't look at the work.
  Fixed,
};

inline std::string_view toString(scale_reason Reason) {
  switch (Reason) {
  case scale_reason::MoreWork:
    return "more_work";
  case scale_reason::LessWork:
    return "less_work";
  case scale_reason::Lost:
    return "lost";
  case scale_reason::Fixed:
    return "fixed";
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SCALEREASON_H
