#include "bluebellkeel/Membership/NearestAddressSelector.h"

using namespace bluebellkeel;

std::vector<network_address> nearest_address_selector::selectAddresses(
    const std::vector<instance_record> &Serving,
    const data_centre_id &CallerCentre) {
  std::vector<network_address> Local;
  std::vector<network_address> Remote;
  for (const auto &Instance : Serving) {
    bool IsLocal = Instance.dataCentre() == CallerCentre;
    (IsLocal ? Local : Remote).push_back(Instance.callerAddress());
  }
  if (Local.size() < MinAddresses)
    Local.insert(Local.end(), Remote.begin(), Remote.end());
  if (Local.size() > MaxAddresses)
    Local.resize(MaxAddresses);
  return Local;
}
