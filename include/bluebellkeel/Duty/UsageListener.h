#ifndef BLUEBELLKEEL_DUTY_USAGELISTENER_H
#define BLUEBELLKEEL_DUTY_USAGELISTENER_H

#include "bluebellkeel/Core/AccountId.h"

namespace bluebellkeel {

/// Is told when an upstream begins a request.
class usage_listener {
public:
  virtual ~usage_listener() = default;

  virtual void onRequestBegun(const account_id &Account) = 0;
};

/// Listens to nothing, for deployments that report no usage.
class no_usage_listener final : public usage_listener {
public:
  void onRequestBegun(const account_id & /*Account*/) override {}
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_USAGELISTENER_H
