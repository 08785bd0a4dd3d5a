#include "bluebellkeel/Journal/KeyedFollower.h"

using namespace bluebellkeel;

tl::expected<keyed_page, journal_error>
keyed_follower::readNext(keyed_log &Log, milliseconds Wait) {
  Freshness.beginWait();
  auto Page = Log.read(Topic, View.end(), Wait);
  Freshness.endWait();
  return Page;
}

tl::expected<void, journal_error> keyed_follower::poll(keyed_log &Log,
                                                       milliseconds Wait) {
  monotonic_time RequestedAt = Clock.monotonicNow();
  auto Page = Synced ? readNext(Log, Wait) : Log.readLatest(Topic);
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
  Synced = true;
  Freshness.noteLogRead(RequestedAt);
  return {};
}
