#include "bluebellkeel/Relay/ForwardLog.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

using namespace bluebellkeel;

milliseconds forward_log::since(monotonic_time Time) const {
  return std::chrono::duration_cast<milliseconds>(Deps.Clock.monotonicNow() -
                                                  Time);
}

void forward_log::dispatch(const placement_candidate &Target,
                           const std::string &Model,
                           milliseconds TimeLeft) const {
  const upstream_listing &Upstream = Target.listing();
  event_line Line("relay", "dispatch");
  Line.add("id", Call.id().text())
      .add("route", Admission.route().name())
      .add("upstream", Upstream.id().text())
      .add("version", Upstream.version().text())
      .add("model", Model)
      .add("time_left_ms", TimeLeft.count())
      .add("sending", static_cast<std::int64_t>(Progress.Arrivals) +
                          Progress.ConnectFailures + 1)
      .add("running", static_cast<std::int64_t>(Target.load().running()))
      .add("prefill", static_cast<std::int64_t>(Target.load().prefill()))
      .add("cached", static_cast<std::int64_t>(Target.cachedTokens()))
      .add("cold", Target.cold())
      .add("settings", static_cast<std::int64_t>(Admission.settingsVersion()))
      .add("settings_age_ms", Deps.ServingStatus.settingsAge().count());
  if (Progress.Expected)
    Line.add("time_percent", static_cast<std::int64_t>(
                                 100 * Target.load().timeFactor().value_or(1)))
        .add("expected_ms",
             static_cast<std::int64_t>(Progress.Expected->total()));
  if (auto Entry = Deps.Registry.find(Upstream.id()))
    Line.add("listing_age_ms", since(Entry->receivedAt()).count());
  Deps.Log.write(Line);
}

void forward_log::attemptFailed(const upstream_id &Upstream,
                                attempt_error Error) const {
  event_line Line("relay", "attempt_failed");
  Line.add("id", Call.id().text())
      .add("upstream", Upstream.text())
      .add("error", toString(Error))
      .add("after_ms", since(Progress.SentAt).count())
      .add("head", Progress.HeadReceived)
      .add("events", static_cast<std::int64_t>(Progress.Events));
  if (Error == attempt_error::Truncated)
    Line.add("parts", absl::StrJoin(Call.requestPrompt().sharedPartIds(), ","));
  Deps.Log.write(Line);
}

void forward_log::readsOn(const upstream_id &Upstream) const {
  event_line Line("relay", "reads_on");
  Line.add("id", Call.id().text())
      .add("upstream", Upstream.text())
      .add("after_ms", since(Progress.SentAt).count())
      .add("events", static_cast<std::int64_t>(Progress.Events));
  Deps.Log.write(Line);
}

void forward_log::largerModel(const std::string &From, const std::string &To,
                              double Confidence) const {
  event_line Line("relay", "larger_model");
  Line.add("id", Call.id().text())
      .add("from", From)
      .add("to", To)
      .add("confidence", static_cast<std::int64_t>(Confidence));
  Deps.Log.write(Line);
}

void forward_log::notice(const upstream_listing &Upstream,
                         const upstream_notice &Notice) const {
  event_line Line("upstreams", "notice");
  Line.add("id", Call.id().text())
      .add("upstream", Upstream.id().text())
      .add("incarnation", static_cast<std::int64_t>(Upstream.incarnation()))
      .add("leaving", Notice.leaving())
      .add("pause_ms", Notice.pause().count());
  if (Notice.rateLimit())
    Line.add("limit_per_s", absl::StrCat(*Notice.rateLimit()));
  if (!Notice.unreadable().empty())
    Line.add("unreadable", Notice.unreadable());
  Deps.Log.write(Line);
}

void forward_log::finished(std::string_view Outcome, int Status,
                           const std::string &Model,
                           std::optional<std::uint64_t> LastEvent) const {
  event_line Line("relay", "finished");
  Line.add("id", Call.id().text())
      .add("outcome", Outcome)
      .add("status", static_cast<std::int64_t>(Status))
      .add("arrivals", static_cast<std::int64_t>(Progress.Arrivals))
      .add("runs", static_cast<std::int64_t>(Progress.Runs))
      .add("model", Model)
      .add("account", Admission.account().text())
      .add("took_ms", since(Call.arrived()).count());
  if (Progress.FirstByte)
    Line.add("first_byte_ms", Progress.FirstByte->count());
  if (LastEvent)
    Line.add("last_event", static_cast<std::int64_t>(*LastEvent));
  Deps.Log.write(Line);
}
