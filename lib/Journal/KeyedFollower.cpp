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

tl::expected<keyed_page, journal_error>
keyed_follower::readPage(keyed_log &Log, milliseconds Wait) {
  if (Synced) {
    auto Page = Log.read(Topic, View.end(), Wait);
    bool Restored = Page && Page->end().era() > View.end().era();
    bool Trimmed = !Page && Page.error() == journal_error::Trimmed;
    if (!Restored && !Trimmed)
      return Page;
    Synced = false;
  }
  return Log.readLatest(Topic);
}

tl::expected<poll_result, journal_error>
keyed_follower::poll(keyed_log &Log, milliseconds Wait) {
  monotonic_time RequestedAt = Clock.monotonicNow();
  auto Page = readPage(Log, Wait);
  if (Page && Page->end().era() < View.end().era())
    return tl::unexpected(journal_error::OldEra);
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
