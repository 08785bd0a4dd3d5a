#ifndef BLUEBELLKEEL_PEER_PEERBODY_H
#define BLUEBELLKEEL_PEER_PEERBODY_H

#include "bluebellkeel/Duty/DutyProgress.h"
#include "bluebellkeel/Peer/BillCopy.h"
#include "bluebellkeel/Peer/BillCopyAck.h"
#include "bluebellkeel/Peer/CrashNotice.h"
#include "bluebellkeel/Peer/GrantAsk.h"
#include "bluebellkeel/Peer/GrantReply.h"
#include "bluebellkeel/Peer/HeartbeatAnswer.h"
#include "bluebellkeel/Peer/HeartbeatQuery.h"
#include "bluebellkeel/Peer/InstanceDigest.h"
#include "bluebellkeel/Peer/LoadBatch.h"
#include "bluebellkeel/Peer/StateAnswer.h"
#include "bluebellkeel/Peer/StateQuery.h"
#include "bluebellkeel/Peer/UsageCounts.h"
#include "bluebellkeel/Peer/ViewAnswer.h"
#include "bluebellkeel/Peer/ViewQuery.h"
#include "bluebellkeel/Upstream/LoadBoard.h"
#include <string_view>
#include <variant>

namespace bluebellkeel {

/// The body of a message between instances.
using peer_body =
    std::variant<heartbeat_query, heartbeat_answer, grant_ask, grant_reply,
                 bill_copy, bill_copy_ack, crash_notice, state_query,
                 state_answer, instance_digest, view_query, view_answer,
                 usage_counts, duty_progress, load_batch, load_board>;

/// Returns the name of the message kind of \p Body, as used on the wire and in
/// metrics.
std::string_view kindOf(const peer_body &Body);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERBODY_H
