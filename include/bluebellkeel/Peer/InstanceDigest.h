#ifndef BLUEBELLKEEL_PEER_INSTANCEDIGEST_H
#define BLUEBELLKEEL_PEER_INSTANCEDIGEST_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Membership/LivenessReport.h"
#include "bluebellkeel/Peer/ViewState.h"
#include "bluebellkeel/Policy/PartCrashReport.h"
#include "bluebellkeel/Policy/RequestCrashReport.h"
#include "bluebellkeel/Policy/RollOutEvidence.h"
#include "bluebellkeel/Upstream/InstanceLoad.h"
#include "bluebellkeel/Upstream/NoticeReport.h"
#include <vector>

namespace bluebellkeel {

/// The state summary that instances exchange periodically. The query and the
/// answer of an exchange have the same form.
class instance_digest : public comparable<instance_digest> {
public:
  /// The contents of a digest.
  struct fields {
    instance_record Sender;
    view_state Settings;
    view_state Upstreams;
    std::vector<instance_load> Loads;
    std::vector<roll_out_evidence> RollOuts;
    request_crash_report RequestCrashes;
    part_crash_report PartCrashes;
    std::vector<notice_report> Notices;
    std::vector<instance_record> KnownInstances;
    std::vector<liveness_report> LivenessReports;
  };

  instance_digest() = default;
  explicit instance_digest(fields Fields) : Content(std::move(Fields)) {}

  const instance_record &sender() const { return Content.Sender; }
  /// Returns the states of the sender's views of the two topics.
  const view_state &settings() const { return Content.Settings; }
  const view_state &upstreams() const { return Content.Upstreams; }
  const std::vector<instance_load> &loads() const { return Content.Loads; }
  const std::vector<roll_out_evidence> &rollOuts() const {
    return Content.RollOuts;
  }
  const request_crash_report &requestCrashes() const {
    return Content.RequestCrashes;
  }
  const part_crash_report &partCrashes() const { return Content.PartCrashes; }
  /// Returns what upstreams said of themselves lately.
  const std::vector<notice_report> &notices() const { return Content.Notices; }
  /// Returns some of the instances that the sender considers alive.
  const std::vector<instance_record> &knownInstances() const {
    return Content.KnownInstances;
  }
  /// Returns how long ago the sender received messages from the instances of
  /// its data centre; empty in digests to peers in other data centres.
  const std::vector<liveness_report> &livenessReports() const {
    return Content.LivenessReports;
  }
  auto key() const {
    return std::tie(Content.Sender, Content.Settings, Content.Upstreams,
                    Content.Loads, Content.RollOuts, Content.RequestCrashes,
                    Content.PartCrashes, Content.Notices,
                    Content.KnownInstances, Content.LivenessReports);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_INSTANCEDIGEST_H
