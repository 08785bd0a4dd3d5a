#include "GatewayScaleInput.h"
#include <algorithm>

using namespace bluebellkeel;

std::vector<service_work> gateway_scale_input::ownWork() {
  std::vector<service_work> Shares;
  auto Table = Context.Tables.current();
  if (!Table ||
      std::none_of(Table->services().begin(), Table->services().end(),
                   [](const auto &Service) { return Service.scaling(); }))
    return Shares;
  struct sum {
    std::uint64_t Running = 0;
    std::uint64_t Prefill = 0;
  };
  std::map<service_id, sum> Sums;
  for (const auto &Load : Context.Loads.localLoads()) {
    auto Entry = Context.Registry.find(Load.upstream());
    if (!Entry)
      continue;
    sum &Sum = Sums[Entry->listing().service()];
    Sum.Running += Load.running();
    Sum.Prefill += Load.prefill();
  }
  for (const auto &Service : Table->services()) {
    if (!Service.scaling())
      continue;
    const sum &Sum = Sums[Service.service()];
    Shares.emplace_back(Service.service(), Context.Settings.DataCentre,
                        Sum.Running, Sum.Prefill);
  }
  return Shares;
}

std::vector<scale_observation> gateway_scale_input::observe() {
  std::vector<scale_observation> Observations;
  auto Table = Context.Tables.current();
  if (!Table)
    return Observations;
  std::size_t Instances = 1;
  for (const auto &Record : Context.Instances.alive())
    Instances += Record.state() == instance_state::Live ? 1 : 0;
  for (const auto &Service : Table->services()) {
    if (!Service.scaling())
      continue;
    if (Instances > 1 && Work.workOf(Service.service()).sources() <= 1)
      continue;
    Observations.push_back(observe(Service, Instances));
  }
  return Observations;
}

scale_observation gateway_scale_input::observe(const service_config &Service,
                                               std::size_t Instances) {
  monotonic_time Now = Context.Clock.monotonicNow();
  std::map<data_centre_id, centre_upstreams::fields> ByCentre;
  std::set<data_centre_id> &Known = Centres[Service.service()];
  double Waiting = 0;
  std::uint32_t Slots = Service.slots();
  for (const auto &Entry : Context.Registry.serving(Service.service())) {
    const upstream_listing &Upstream = Entry->listing();
    Known.insert(Upstream.dataCentre());
    if (Context.Notices.conditionOf(Upstream.incarnationKey()).leaving())
      continue;
    centre_upstreams::fields &Centre = ByCentre[Upstream.dataCentre()];
    ++Centre.Present;
    Centre.Cold += Entry->coldUntil() > Now ? 1 : 0;
    Waiting += Context.Loads.loadOf(Upstream.id()).waiting();
    Slots = Slots == 0 ? Upstream.slots() : Slots;
  }
  scale_observation::fields Fields;
  Fields.Service = Service.service();
  Fields.Limits = *Service.scaling();
  Fields.Slots = Slots;
  for (const auto &Centre : Known) {
    centre_upstreams::fields Upstreams = ByCentre[Centre];
    Upstreams.Centre = Centre;
    Upstreams.Closed = Context.Centres.closed(Centre);
    Fields.Centres.emplace_back(std::move(Upstreams));
  }
  known_work Heard = Work.workOf(Service.service());
  Fields.Work = known_work(
      work_total(Heard.total().running(), Waiting, Heard.total().prefill()),
      Heard.running(), Heard.sources(), Heard.age());
  Fields.Instances = Instances;
  return scale_observation(std::move(Fields));
}
