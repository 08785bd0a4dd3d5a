#ifndef BLUEBELLKEEL_RELAY_ATTEMPTRECORDER_H
#define BLUEBELLKEEL_RELAY_ATTEMPTRECORDER_H

#include "bluebellkeel/Relay/ForwardAdmission.h"
#include "bluebellkeel/Relay/ForwardProgress.h"
#include "bluebellkeel/Relay/StreamForwarder.h"

namespace bluebellkeel {

/// Passes the outcomes of one call's attempts to the trackers that judge
/// upstreams, versions and requests by them.
class attempt_recorder {
public:
  attempt_recorder(const forward_dependencies &Deps, const forward_call &Call,
                   const forward_admission &Admission,
                   const forward_progress &Progress,
                   const stream_forwarder &Stream)
      : Deps(Deps), Call(Call), Admission(Admission), Progress(Progress),
        Stream(Stream) {}

  /// Records a complete response of the latest attempt.
  void succeeded(const upstream_listing &Upstream) const;
  /// Records a good response of which only the head was read. It does not show
  /// that the upstream can answer the request.
  void dropped(const upstream_listing &Upstream) const;
  /// Records a response that has paused and is read on. Placement prefers other
  /// upstreams for some time.
  void paused(const upstream_listing &Upstream) const;
  void failed(const upstream_listing &Upstream, attempt_error Error) const;

private:
  void noteCrash(const upstream_listing &Upstream) const;
  const service_id &service() const {
    return Admission.serviceConfig().service();
  }

  const forward_dependencies &Deps;
  const forward_call &Call;
  const forward_admission &Admission;
  const forward_progress &Progress;
  const stream_forwarder &Stream;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ATTEMPTRECORDER_H
