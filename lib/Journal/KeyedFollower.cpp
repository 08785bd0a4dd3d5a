#include "bluebellkeel/Journal/KeyedFollower.h"
#include <utility>

using namespace bluebellkeel;

/// Returns a time as of which the response to a read that waited for new
/// records was complete. The log responds without any only after the whole
/// wait.
static monotonic_time completeAsOf(const keyed_page &Page,
                                   monotonic_time RequestedAt,
                                   milliseconds Wait, monotonic_time Now) {
  bool Waited = Page.records().empty() && Now - RequestedAt >= Wait;
  return Waited ? RequestedAt + Wait : RequestedAt;
}

tl::expected<poll_result, journal_error>
keyed_follower::poll(keyed_log &Log, milliseconds Wait) {
  monotonic_time RequestedAt = Clock.monotonicNow();
  auto Page =
      Synced ? Log.read(Topic, View.end(), Wait) : Log.readLatest(Topic);
  if (!Page && Page.error() == journal_error::Trimmed) {
    Synced = false;
    Page = Log.readLatest(Topic);
  }
  if (!Page)
    return tl::unexpected(Page.error());
  if (Synced)
    View.apply(*Page);
  else
    View.replace(*Page);
  Freshness.noteLogRead(
      Synced ? completeAsOf(*Page, RequestedAt, Wait, Clock.monotonicNow())
             : RequestedAt);
  bool AllKeys = !std::exchange(Synced, true);
  return poll_result(AllKeys, Page->records().size(), Page->end());
}
