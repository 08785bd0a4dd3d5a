#ifndef BLUEBELLKEEL_UPSTREAM_CAPACITYLISTENER_H
#define BLUEBELLKEEL_UPSTREAM_CAPACITYLISTENER_H

namespace bluebellkeel {

/// Interface for notifications that an upstream may have capacity for a waiting
/// request.
class capacity_listener {
public:
  virtual ~capacity_listener() = default;

  virtual void onCapacityChanged() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_CAPACITYLISTENER_H
