#ifndef BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEINSTANCESTATUS_H
#define BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEINSTANCESTATUS_H

#include "OwnershipResolver.h"
#include "ServingState.h"
#include "bluebellkeel/Frontend/InstanceStatus.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"

namespace bluebellkeel {

/// Reads the instance status from the components of the runtime.
class runtime_instance_status final : public instance_status {
public:
  runtime_instance_status(instance_id Self, const time_source &Clock,
                          random_source &Random, const settings_store &Settings,
                          const instance_directory &Instances,
                          peer_table &Peers, const serving_state &Serving,
                          const ownership_resolver &Owners,
                          grant_issuer &Issuer, freshness_evaluator Evaluator)
      : Selector(std::move(Self), Evaluator), Clock(Clock), Random(Random),
        Settings(Settings), Instances(Instances), Peers(Peers),
        Serving(Serving), Owners(Owners), Issuer(Issuer) {}

  address_selection selectAddresses() override {
    return Selector.selectAddresses(
        Clock.monotonicNow(), Serving.serving(), *Instances.list(), Peers.all(),
        Settings.routing()->outOfServiceDataCentres(), Random);
  }
  serving_verdict verdict() override { return Serving.verdict(); }
  bool serving() override { return Serving.serving(); }
  std::optional<instance_id> ownerOf(const upstream_id &Upstream) override {
    return bluebellkeel::ownerOf(Upstream.text(), Owners.candidates());
  }
  upstream_phase phaseOf(const upstream_id &Upstream) override {
    return Issuer.phaseOf(Upstream);
  }

private:
  address_selector Selector;
  const time_source &Clock;
  random_source &Random;
  const settings_store &Settings;
  const instance_directory &Instances;
  peer_table &Peers;
  const serving_state &Serving;
  const ownership_resolver &Owners;
  grant_issuer &Issuer;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEINSTANCESTATUS_H
