#ifndef BLUEBELLKEEL_UPSTREAM_SHAREDRATELIMITER_H
#define BLUEBELLKEEL_UPSTREAM_SHAREDRATELIMITER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <map>
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Keeps the requests of all instances to an upstream within a rate without
/// coordination: rendezvous hashing selects a few instances that send to the
/// upstream, each at its part of the rate. Thread-safe.
class shared_rate_limiter {
public:
  /// Which instances send to an upstream.
  enum class senders {
    /// The few that rendezvous hashing selects.
    Selected,
    /// All of them, each at an equal part of the rate.
    All
  };

  /// One request to an upstream.
  struct request {
    const upstream_id &Upstream;
    /// Requests per second that the upstream accepts; positive.
    double Rate;
    /// All instances that may send, including this one.
    const std::vector<instance_id> &Instances;
    senders Senders = senders::Selected;
    /// False if the request leaves the advance to others.
    bool MayAdvance = true;
  };

  /// In any window, all senders together send at most the rate times the sum of
  /// the window, \p Advance and \p SendersPerRate seconds, or one request more
  /// if this selects less than one sender.
  ///
  /// \param SendersPerRate number of selected senders per request per second of
  /// the rate.
  /// \param Advance how far a sender that had nothing to send may catch up with
  /// its part of the rate.
  shared_rate_limiter(instance_id Self, double SendersPerRate,
                      milliseconds Advance, const time_source &Clock)
      : Self(std::move(Self)), SendersPerRate(SendersPerRate), Advance(Advance),
        Clock(Clock) {}

  /// Returns the time until this instance may send \p Request; 0 if it may now.
  /// Empty if only others send to the upstream.
  std::optional<milliseconds> delay(const request &Request);
  /// Returns true if this instance may send \p Request now, and counts it.
  bool admit(const request &Request);

private:
  /// Number of instances that precede this one in the order in which instances
  /// are selected for an upstream, out of \c Instances, as of \c At.
  struct rank {
    std::size_t Preceding = 0;
    std::size_t Instances = 0;
    monotonic_time At;
  };

  using rank_map = std::map<upstream_id, rank>;
  using interval = std::chrono::duration<double>;
  /// For each upstream the time at which its latest request was due, which is
  /// later than the time at which it was sent if that was in advance.
  using time_map = std::map<upstream_id, monotonic_time>;

  milliseconds advanceOf(const request &Request) const {
    return Request.MayAdvance ? Advance : milliseconds(0);
  }
  /// Returns the time between two requests of this instance at its part of the
  /// rate; empty if only others send.
  std::optional<interval> intervalOf(const request &Request);
  std::size_t precedingOf(const upstream_id &Upstream,
                          const std::vector<instance_id> &Instances);

  const instance_id Self;
  const double SendersPerRate;
  const milliseconds Advance;
  const time_source &Clock;
  sharded<time_map> LastDue;
  sharded<rank_map> Ranks;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_SHAREDRATELIMITER_H
