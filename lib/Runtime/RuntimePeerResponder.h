#ifndef BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEPEERRESPONDER_H
#define BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEPEERRESPONDER_H

#include "ServingState.h"
#include "bluebellkeel/Journal/BillWriter.h"
#include "bluebellkeel/Peer/PeerResponder.h"
#include "bluebellkeel/Policy/CrashTracker.h"
#include "bluebellkeel/Policy/QualityTracker.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"

namespace bluebellkeel {

/// Handles the messages that peers send to this instance.
class runtime_peer_responder final : public peer_responder {
public:
  runtime_peer_responder(instance_id Self, std::uint64_t Incarnation,
                         const time_source &Clock,
                         const settings_store &Settings,
                         const serving_state &Serving, grant_issuer &Issuer,
                         bill_writer &Bills, crash_tracker &Crashes,
                         quality_tracker &Quality)
      : Self(std::move(Self)), Incarnation(Incarnation), Clock(Clock),
        Settings(Settings), Serving(Serving), Issuer(Issuer), Bills(Bills),
        Crashes(Crashes), Quality(Quality) {}

  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override;

private:
  peer_body heartbeatAnswer() const;
  peer_body grantsFor(const grant_ask &Ask);

  instance_id Self;
  std::uint64_t Incarnation;
  const time_source &Clock;
  const settings_store &Settings;
  const serving_state &Serving;
  grant_issuer &Issuer;
  bill_writer &Bills;
  crash_tracker &Crashes;
  quality_tracker &Quality;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEPEERRESPONDER_H
