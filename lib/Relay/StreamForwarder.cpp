#include "bluebellkeel/Relay/StreamForwarder.h"
#include "BeginResponse.h"
#include <algorithm>
#include <functional>

using namespace bluebellkeel;

tl::expected<bool, attempt_error>
stream_forwarder::forward(const service_id &Service,
                          const upstream_listing &Upstream,
                          upstream_response &Response) {
  Splitter.clear();
  return resume(Service, Upstream, Response);
}

tl::expected<bool, attempt_error>
stream_forwarder::resume(const service_id &Service,
                         const upstream_listing &Upstream,
                         upstream_response &Response) {
  Progress.LastEventAt = Deps.Clock.monotonicNow();
  while (true) {
    auto Piece = Response.read();
    if (!Piece)
      return tl::unexpected(Piece.error());
    if (Piece->empty())
      break;
    if (!reserveEvent(Piece->size()))
      return tl::unexpected(attempt_error::NoMemory);
    auto Forwarded = forwardEvents(Service, Upstream, Response.head(), *Piece);
    if (!Forwarded)
      return tl::unexpected(Forwarded.error());
    if (auto Error = eventError())
      return tl::unexpected(*Error);
  }
  if (brokenOff(Response.head()))
    return tl::unexpected(attempt_error::Truncated);
  if (!beginResponse(Caller, Progress, Response.head()))
    return tl::unexpected(attempt_error::CallerGone);
  return (Splitter.remainder().empty() || Caller.write(Splitter.remainder())) &&
         Caller.end();
}

/// Reserves memory for the incomplete event and \p Bytes more. Small events are
/// part of what each request holds.
bool stream_forwarder::reserveEvent(std::size_t Bytes) {
  constexpr std::size_t SmallBytes = 4096;
  constexpr std::size_t Copies = 3;
  std::size_t Total = Splitter.remainder().size() + Bytes;
  std::size_t Needed = Total > SmallBytes ? Copies * Total : 0;
  Reservation.shrinkTo(Needed);
  return Reservation.growTo(Needed);
}

tl::expected<void, attempt_error> stream_forwarder::forwardEvents(
    const service_id &Service, const upstream_listing &Upstream,
    const response_head &Head, std::string_view Piece) {
  auto Events = Splitter.feed(Piece);
  auto Foreign = std::find_if(Events.begin(), Events.end(),
                              std::mem_fn(&stream_event::isResponseHead));
  bool Garbled = Foreign != Events.end();
  Events.erase(Foreign, Events.end());
  if (Events.empty() && Garbled)
    return tl::unexpected(attempt_error::Malformed);
  if (Events.empty())
    return {};
  noteEvents(Service, Upstream, Events.size());
  if (!Version)
    Version = Upstream.version();
  if (!beginResponse(Caller, Progress, Head))
    return tl::unexpected(attempt_error::CallerGone);
  auto Contiguous = Sequence.takeContiguous(Events);
  // The write may wait for a slow caller.
  Events = {};
  if (!Contiguous.bytes().empty() && !Caller.write(Contiguous.bytes()))
    return tl::unexpected(attempt_error::CallerGone);
  // After the write, since a slow caller is no silence of the upstream.
  Progress.LastEventAt = Deps.Clock.monotonicNow();
  // Neither can be reported to the caller; the missing events are fetched from
  // another upstream.
  if (Contiguous.gap() || Garbled)
    return tl::unexpected(attempt_error::Malformed);
  return {};
}

/// Counts the events of the attempt. Records their mean interval once, early,
/// since a slow version must be noticed before its streams end.
void stream_forwarder::noteEvents(const service_id &Service,
                                  const upstream_listing &Upstream,
                                  std::size_t Count) {
  constexpr std::size_t MeasuredEvents = 3;
  if (Progress.Events == 0)
    Progress.FirstEventAt = Deps.Clock.monotonicNow();
  bool WasMeasured = Progress.Events >= MeasuredEvents;
  Progress.Events += Count;
  if (WasMeasured || Progress.Events < MeasuredEvents)
    return;
  auto Time = std::chrono::duration_cast<milliseconds>(
      Deps.Clock.monotonicNow() - Progress.FirstEventAt);
  Deps.RollOuts.noteEventInterval(
      Service, Upstream.version(),
      Time / static_cast<std::int64_t>(Progress.Events - 1),
      Deps.Loads.loadOf(Upstream.id()).running());
}

/// Returns the error of a stream that sends bytes but no complete events: they
/// are too many, or come for too long. The reads check only for bytes.
std::optional<attempt_error> stream_forwarder::eventError() const {
  if (Splitter.overflowed())
    return attempt_error::Malformed;
  if (Deps.Clock.monotonicNow() - Progress.LastEventAt > Progress.IdleLimit)
    return attempt_error::Silent;
  return std::nullopt;
}

/// True if a response that ended without an error is incomplete: an upstream
/// that breaks off may close its connection as after a whole response.
bool stream_forwarder::brokenOff(const response_head &Head) const {
  return Splitter.insideEvent() ||
         (Progress.Events == 0 && Head.delimitedByClose());
}
