#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMKIND_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMKIND_H

#include <string_view>

namespace bluebellkeel {

/// What an upstream runs.
enum class upstream_kind { Engine, Service };

inline std::string_view toString(upstream_kind Kind) {
  return Kind == upstream_kind::Engine ? "engine" : "service";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMKIND_H
