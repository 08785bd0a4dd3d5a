#ifndef BLUEBELLKEEL_ROUTING_ROUTEKIND_H
#define BLUEBELLKEEL_ROUTING_ROUTEKIND_H

namespace bluebellkeel {

/// What may be repeated of a request on a route.
enum class route_kind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request.
  AtMostOnce,
  /// Answers with a stream of events; runs at most once unless it is resumable.
  Stream,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_ROUTEKIND_H
