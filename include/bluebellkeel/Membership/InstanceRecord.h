#ifndef BLUEBELLKEEL_MEMBERSHIP_INSTANCERECORD_H
#define BLUEBELLKEEL_MEMBERSHIP_INSTANCERECORD_H

#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Membership/InstanceState.h"
#include <tuple>

namespace bluebellkeel {

/// One entry instance in the platform's list.
class instance_record : public comparable<instance_record> {
public:
  instance_record() = default;
  instance_record(instance_id Id, data_centre_id DataCentre,
                  network_address CallerAddress, network_address PeerAddress,
                  instance_state State)
      : Id(std::move(Id)), DataCentre(std::move(DataCentre)),
        CallerAddress(std::move(CallerAddress)),
        PeerAddress(std::move(PeerAddress)), State(State) {}

  const instance_id &id() const { return Id; }
  const data_centre_id &dataCentre() const { return DataCentre; }
  /// The address that callers connect to.
  const network_address &callerAddress() const { return CallerAddress; }
  /// The address that other instances connect to.
  const network_address &peerAddress() const { return PeerAddress; }
  instance_state state() const { return State; }
  auto key() const {
    return std::tie(Id, DataCentre, CallerAddress, PeerAddress, State);
  }

private:
  instance_id Id;
  data_centre_id DataCentre;
  network_address CallerAddress;
  network_address PeerAddress;
  instance_state State = instance_state::Live;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_INSTANCERECORD_H
