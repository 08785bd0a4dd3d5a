#ifndef UNITTESTS_SCALE_SCALEDFLEET_H
#define UNITTESTS_SCALE_SCALEDFLEET_H

#include "Support/ManualClock.h"
#include "bluebellkeel/Scale.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// The upstreams of a service in three data centres, which follow orders after
/// their boot time, and its work, which tests set.
class scaled_fleet final : public scale_input {
public:
  static constexpr std::uint32_t Min = 4;
  static constexpr std::uint32_t Max = 10;
  static constexpr std::uint32_t Slots = 10;
  static constexpr milliseconds BootTime{8000};

  struct centre {
    std::uint32_t Present = Min;
    bool Closed = false;
    double Running = 0;
  };
  struct arrival {
    monotonic_time At;
    scale_order Order;
  };

  explicit scaled_fleet(const time_source &Clock) : Clock(Clock) {
    for (const char *Name : {"a", "b", "c"})
      Centres[data_centre_id(Name)] = centre();
  }

  std::map<data_centre_id, centre> Centres;
  std::vector<arrival> Booting;
  std::size_t Sources = 8;
  double Prefill = 0;

  centre &at(const char *Name) { return Centres.at(data_centre_id(Name)); }
  std::uint32_t present() const {
    std::uint32_t Sum = 0;
    for (const auto &[Name, Centre] : Centres)
      Sum += Centre.Present;
    return Sum;
  }
  void setRunning(double Running) {
    for (auto &[Name, Centre] : Centres)
      Centre.Running = Running / static_cast<double>(Centres.size());
  }
  /// Carries out \p Order after the boot time.
  void order(const scale_order &Order) {
    Booting.push_back({Clock.monotonicNow() + BootTime, Order});
  }
  void step() {
    for (auto It = Booting.begin(); It != Booting.end();) {
      if (It->At > Clock.monotonicNow()) {
        ++It;
        continue;
      }
      Centres[It->Order.centre()].Present = It->Order.count();
      It = Booting.erase(It);
    }
  }

  std::vector<scale_observation> observe() override {
    scale_observation::fields Fields;
    Fields.Service = service_id("s");
    Fields.Limits = scaling_limits(Min, Max, BootTime);
    Fields.Slots = Slots;
    Fields.Instances = 8;
    known_work::centre_map Running;
    double Total = 0;
    for (const auto &[Name, Centre] : Centres) {
      centre_upstreams::fields Upstreams;
      Upstreams.Centre = Name;
      Upstreams.Present = Centre.Present;
      Upstreams.Closed = Centre.Closed;
      Fields.Centres.emplace_back(Upstreams);
      Running[Name] = Centre.Running;
      Total += Centre.Running;
    }
    Fields.Work = known_work(work_total(Total, 0, Prefill), Running, Sources,
                             milliseconds(0));
    return {scale_observation(std::move(Fields))};
  }

private:
  const time_source &Clock;
};

} // namespace bluebellkeel

#endif // UNITTESTS_SCALE_SCALEDFLEET_H
