#include "bluebellkeel/Journal/KeyedFollower.h"

using namespace bluebellkeel;

tl::expected<void, journal_error> keyed_follower::poll(keyed_log &Log,
                                                       milliseconds Wait) {
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
  Synced = true;
  Freshness.noteLogRead(RequestedAt);
  return {};
}
