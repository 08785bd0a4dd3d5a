#include "bluebellkeel/Relay/AttemptRecorder.h"

using namespace bluebellkeel;

/// Weights of a failed run, a failed connection and a rejected request in the
/// upstream's suspicion, which placement uses.
static constexpr double FailureWeight = 1;
static constexpr double ConnectFailureWeight = 2;
static constexpr double TurnedAwayWeight = 0.3;

void attempt_recorder::succeeded(const upstream_listing &Upstream) const {
  dropped(Upstream);
  Deps.Crashes.noteSuccess(Admission.requestFingerprint());
  Deps.PartCrashes.noteSuccess(Call.requestPrompt());
}

void attempt_recorder::dropped(const upstream_listing &Upstream) const {
  Deps.Loads.noteSuccess(Upstream.id());
  Deps.RollOuts.noteResponse(service(), Upstream.version(),
                             /*Good=*/true);
}

void attempt_recorder::paused(const upstream_listing &Upstream) const {
  Deps.Loads.noteFailure(Upstream.id(), FailureWeight);
}

void attempt_recorder::failed(const upstream_listing &Upstream,
                              attempt_error Error) const {
  bool NotConnected = Error == attempt_error::ConnectFailed;
  double Weight = definitelyNotRun(Error) ? TurnedAwayWeight : FailureWeight;
  Deps.Loads.noteFailure(Upstream.id(),
                         NotConnected ? ConnectFailureWeight : Weight);
  if (!definitelyNotRun(Error))
    Deps.RollOuts.noteResponse(service(), Upstream.version(),
                               /*Good=*/false);
  if (Error == attempt_error::Truncated)
    noteCrash(Upstream);
}

void attempt_recorder::noteCrash(const upstream_listing &Upstream) const {
  const fingerprint &Request = Admission.requestFingerprint();
  bool Counted =
      Deps.Crashes.noteCrash(Request, Upstream.id(), Progress.SentAt);
  event_line Line("relay", "crash");
  Line.add("id", Call.id().text())
      .add("request", Request.text())
      .add("upstream", Upstream.id().text())
      .add("counted", Counted)
      .add("crashes",
           static_cast<std::int64_t>(Deps.Crashes.crashesOf(Request)));
  Deps.Log.write(Line);
  Deps.PartCrashes.noteInterruption(Request, Upstream.incarnationKey(),
                                    Call.requestPrompt());
  // A request that had just begun is the likeliest cause of the crash.
  if (Progress.HeadReceived && !Progress.BodyStarted && !Stream.started())
    Deps.PartCrashes.noteCrash(Request, Upstream.incarnationKey(),
                               Call.requestPrompt());
}
