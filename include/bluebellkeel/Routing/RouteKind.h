#ifndef BLUEBELLKEEL_ROUTING_ROUTEKIND_H
#define BLUEBELLKEEL_ROUTING_ROUTEKIND_H

namespace bluebellkeel {

/// Whether requests on a route may run more than once.
enum class route_kind {
  /// A request may run more than once.
  Idempotent,
  /// A request runs at most once.
  AtMostOnce,
  /// The response is a stream of events; a request runs at most once unless the
  /// route is resumable.
  Stream,
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_ROUTEKIND_H
