#include "bluebellkeel/Membership/FrontAdvisor.h"

using namespace bluebellkeel;

std::vector<network_address>
front_advisor::advise(const std::vector<instance_record> &Serving,
                      const data_centre_id &CallerCentre) {
  std::vector<network_address> Near;
  std::vector<network_address> Far;
  for (const auto &Instance : Serving) {
    bool IsNear = Instance.dataCentre() == CallerCentre;
    (IsNear ? Near : Far).push_back(Instance.callerAddress());
  }
  if (Near.size() < EnoughAddresses)
    Near.insert(Near.end(), Far.begin(), Far.end());
  if (Near.size() > MaxAddresses)
    Near.resize(MaxAddresses);
  return Near;
}
