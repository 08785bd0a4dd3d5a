#ifndef BLUEBELLKEEL_FRONTEND_INSTANCESTATUS_H
#define BLUEBELLKEEL_FRONTEND_INSTANCESTATUS_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Membership/AddressSelection.h"
#include "bluebellkeel/Membership/ServingVerdict.h"
#include "bluebellkeel/Upstream/UpstreamPhase.h"
#include <optional>

namespace bluebellkeel {

/// The state of this instance that the front end reports to callers and
/// operators.
class instance_status {
public:
  virtual ~instance_status() = default;

  virtual address_selection selectAddresses() = 0;
  virtual serving_verdict verdict() = 0;
  /// False while callers are directed to other instances.
  virtual bool serving() = 0;
  /// Returns the owner of \p Upstream; empty if no instance can own it.
  virtual std::optional<instance_id> ownerOf(const upstream_id &Upstream) = 0;
  /// Returns the phase of \p Upstream, which only its owner knows.
  virtual upstream_phase phaseOf(const upstream_id &Upstream) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_FRONTEND_INSTANCESTATUS_H
