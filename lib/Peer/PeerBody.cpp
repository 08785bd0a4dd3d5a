#include "bluebellkeel/Peer/PeerBody.h"
#include <array>

using namespace bluebellkeel;

std::string_view bluebellkeel::kindOf(const peer_body &Body) {
  static constexpr std::array<std::string_view, std::variant_size_v<peer_body>>
      Names = {
          "heartbeat_query", "heartbeat_answer", "grant_ask",    "grant_reply",
          "bill_copy",       "bill_copy_ack",    "crash_notice", "state_query",
          "state_answer",    "instance_digest",  "view_query",   "view_answer",
          "usage_counts",    "duty_progress",    "load_batch",   "load_board"};
  return Names[Body.index()];
}
