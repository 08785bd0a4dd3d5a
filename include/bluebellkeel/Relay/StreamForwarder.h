#ifndef BLUEBELLKEEL_RELAY_STREAMFORWARDER_H
#define BLUEBELLKEEL_RELAY_STREAMFORWARDER_H

#include "bluebellkeel/Core/MemoryReservation.h"
#include "bluebellkeel/Relay/EventSequence.h"
#include "bluebellkeel/Relay/EventSplitter.h"
#include "bluebellkeel/Relay/ForwardCaller.h"
#include "bluebellkeel/Relay/ForwardDependencies.h"
#include "bluebellkeel/Relay/ForwardProgress.h"
#include "bluebellkeel/Relay/ForwardUpstream.h"
#include <string_view>

namespace bluebellkeel {

/// Forwards the events of one call's stream to the caller, across the responses
/// of several attempts.
class stream_forwarder {
public:
  /// \param Last number of the last event that the caller already has; empty if
  /// it has none.
  stream_forwarder(const forward_dependencies &Deps, forward_caller &Caller,
                   forward_progress &Progress,
                   std::optional<std::uint64_t> Last)
      : Deps(Deps), Caller(Caller), Progress(Progress), Sequence(Last),
        Reservation(Deps.Memory, memory_use::LongEvent) {}

  /// Forwards \p Response of \p Upstream, which belongs to \p Service, until it
  /// ends. Returns false if the caller was gone at the end, and an error if the
  /// attempt failed before.
  tl::expected<bool, attempt_error> forward(const service_id &Service,
                                            const upstream_listing &Upstream,
                                            upstream_response &Response);
  /// Goes on after forward() or resume() has failed with Silent.
  tl::expected<bool, attempt_error> resume(const service_id &Service,
                                           const upstream_listing &Upstream,
                                           upstream_response &Response);

  /// Version that produced the events sent to the caller; empty before the
  /// first event.
  const std::optional<version_id> &version() const { return Version; }
  /// Number of the latest event that the caller has; empty if it has none.
  const std::optional<std::uint64_t> &lastEvent() const {
    return Sequence.last();
  }
  /// True if an upstream has produced an event, in this call or in the one that
  /// the caller resumes.
  bool started() const { return Version || Sequence.last(); }

private:
  bool reserveEvent(std::size_t Bytes);
  tl::expected<void, attempt_error>
  forwardEvents(const service_id &Service, const upstream_listing &Upstream,
                const response_head &Head, std::string_view Piece);
  void noteEvents(const service_id &Service, const upstream_listing &Upstream,
                  std::size_t Count);
  std::optional<attempt_error> eventError() const;
  bool brokenOff(const response_head &Head) const;

  const forward_dependencies &Deps;
  forward_caller &Caller;
  forward_progress &Progress;
  std::optional<version_id> Version;
  event_sequence Sequence;
  event_splitter Splitter;
  memory_reservation Reservation;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_STREAMFORWARDER_H
